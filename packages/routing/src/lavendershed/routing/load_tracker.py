"""Open work of all daemons at the model engines."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units

# A daemon repeats its work every second; one that was silent for this long
# has ended or can't be reached, and its requests are about to end too.
PEER_TIMEOUT = units.Seconds(3.0)


@dataclasses.dataclass(slots=True)
class EngineTask:
    """One part of a request at one engine.

    Attributes:
        request: Number that the parts of one request share.
        server: The engine.
        phase: Whether the engine reads the prompt or writes the answer.
        read_ms: Time that the engine needs to read this part.
        ready_at: Predicted time of the first token.
        ends_at: Predicted end of the answer.
        memory: Tokens of engine memory that the part holds.
        context: Tokens that each step of a writer has to look at.
        longest_pause: Longest pause of an answer on time.
        due_at: Time by which the first token is due.
        credit: What the request is worth if it is answered on time.
        urgent: Whether engines admit it before requests that are late anyway.
    """

    request: int
    server: ids.BackendServerId
    phase: forwarding_states.InferencePhase
    prefill_ms: float
    first_token_at: units.Instant
    completes_at: units.Instant
    kv_tokens: int
    context_tokens: int
    target_inter_token_latency: units.Seconds
    first_token_due_at: units.Instant
    utility: float
    urgent: bool = True


# An engine reads about 100,000 tokens in a pass, which takes up to some seconds
# with the pairs of a long prompt.
_MAX_ITERATION = units.Seconds(3.0)

# Half of a pass of an engine with some writers.
_OVERDUE_WAIT_MS = 25.0

# Takes whether the change is urgent.
ChangeListener = Callable[[bool], object]


class EngineLoad:
    """Work at one engine at one moment; durations in milliseconds.

    Reads that are not urgent wait until nothing else does, so that they take
    memory and nothing more.
    """

    __slots__ = ("context_tokens", "decoding", "kv_tokens", "prefilling")

    def __init__(self, tasks: Iterable[EngineTask]) -> None:
        self.decoding: list[EngineTask] = []
        self.prefilling: list[EngineTask] = []
        self.kv_tokens = 0
        self.context_tokens = 0
        for task in tasks:
            self.kv_tokens += task.kv_tokens
            if task.phase is forwarding_states.InferencePhase.DECODE:
                self.decoding.append(task)
                self.context_tokens += task.context_tokens
            elif task.urgent:
                self.prefilling.append(task)

    @property
    def requests(self) -> int:
        """Requests that read or write here."""
        return len(self.decoding) + len(self.prefilling)

    def slot_wait_ms(self, now: units.Instant, slots: int) -> float:
        """Returns the time until one of the engine's slots is free."""
        completions = sorted(
            task.completes_at
            for task in itertools.chain(self.decoding, self.prefilling)
            if task.kv_tokens
        )
        excess = len(completions) - slots
        if excess < 0:
            return 0.0
        # A request that should have ended ends soon.
        return max((completions[excess] - now) * 1_000, _OVERDUE_WAIT_MS)

    def prefill_backlog_ms(
        self, now: units.Instant, iteration_ms: float
    ) -> float:
        """Returns the reading time that is left here."""
        if not self.prefilling:
            return 0.0
        total_ms = sum(task.prefill_ms for task in self.prefilling)
        last_first_token_at = max(
            task.first_token_at for task in self.prefilling
        )
        remaining_ms = (last_first_token_at - now) * 1_000 - iteration_ms
        # A read that is overdue has not ended: its first token would be known.
        return min(total_ms, max(remaining_ms, total_ms / 4))


class LoadTracker:
    """Own and reported work, by engine.

    A report of a daemon replaces all that it reported before, so that a lost
    report is mended by the next one.
    """

    def __init__(self) -> None:
        self._task_ids = itertools.count()
        self._local_tasks: dict[int, EngineTask] = {}
        self._peer_reports: dict[
            ids.Incarnation, tuple[units.Instant, tuple[EngineTask, ...]]
        ] = {}
        self._tasks_by_engine: dict[ids.BackendServerId, list[EngineTask]] = {}
        self._cancelled: set[int] = set()
        self._listeners: list[ChangeListener] = []

    @property
    def local_tasks(self) -> tuple[EngineTask, ...]:
        """Work that this daemon has placed."""
        return tuple(self._local_tasks.values())

    def age(self, now: units.Instant) -> units.Seconds:
        """Returns the age of the oldest report; 0 without any."""
        return units.Seconds(
            max(
                (now - at for at, _ in self._peer_reports.values()), default=0.0
            )
        )

    def subscribe(self, listener: ChangeListener) -> None:
        """Calls `listener` after each change of the own work.

        New work is urgent: others choose worse as long as they don't know of
        it. What they believe of work that has gone on or ended is on the safe
        side.
        """
        self._listeners.append(listener)

    def add(self, task: EngineTask) -> int:
        """Adds own work; returns the number to refer to it."""
        task_id = next(self._task_ids)
        self._local_tasks[task_id] = task
        self._tasks_by_engine.setdefault(task.server, []).append(task)
        self._notify_listeners(urgent=True)
        return task_id

    def on_first_token(self, task_ids: Iterable[int]) -> None:
        """Notes that the first token of a request has arrived.

        Engines that only read for it are done; those that hold its memory
        take part in each step.
        """
        for task_id in task_ids:
            task = self._local_tasks.get(task_id)
            if (
                task is None
                or task.phase is forwarding_states.InferencePhase.DECODE
            ):
                continue
            if task.kv_tokens:
                task.phase = forwarding_states.InferencePhase.DECODE
                self._notify_listeners(urgent=False)
            else:
                self.remove(task_id)

    def cancel(self, task_id: int, now: units.Instant) -> None:
        """Ends own work whose request was given up.

        An engine that reads ends its pass all the same, so that the work
        counts until its predicted end, at most `_LONGEST_PASS` from now.
        """
        task = self._local_tasks.get(task_id)
        if (
            task is None
            or task.phase is forwarding_states.InferencePhase.DECODE
            or task.first_token_at <= now
        ):
            self.remove(task_id)
            return
        task.kv_tokens = task.context_tokens = 0
        task.utility = 0.0
        task.first_token_at = min(
            task.first_token_at, units.after(now, _MAX_ITERATION)
        )
        self._cancelled.add(task_id)
        self._notify_listeners(urgent=False)

    def remove(self, task_id: int) -> None:
        """Removes own work; unknown numbers are ignored."""
        task = self._local_tasks.pop(task_id, None)
        if task is not None:
            self._tasks_by_engine[task.server].remove(task)
            self._notify_listeners(urgent=False)

    def on_report(
        self,
        daemon: ids.Incarnation,
        tasks: tuple[EngineTask, ...],
        now: units.Instant,
    ) -> None:
        """Replaces the work of another daemon."""
        self._remove_peer(daemon)
        self._peer_reports[daemon] = (now, tasks)
        for task in tasks:
            self._tasks_by_engine.setdefault(task.server, []).append(task)

    def expire(self, now: units.Instant) -> None:
        """Forgets abandoned work that has ended, and silent daemons.

        A daemon is silent after `PEER_LIFETIME` without a report.
        """
        ended = [
            task_id
            for task_id in self._cancelled
            if self._local_tasks[task_id].first_token_at <= now
        ]
        for task_id in ended:
            self._cancelled.discard(task_id)
            self.remove(task_id)
        silent = [
            daemon
            for daemon, (at, _) in self._peer_reports.items()
            if now - at > PEER_TIMEOUT
        ]
        for daemon in silent:
            self._remove_peer(daemon)

    def load(self, server: ids.BackendServerId) -> EngineLoad:
        """Returns the work at an engine."""
        return EngineLoad(self._tasks_by_engine.get(server, ()))

    def _notify_listeners(self, *, urgent: bool) -> None:
        for listener in self._listeners:
            listener(urgent)

    def _remove_peer(self, daemon: ids.Incarnation) -> None:
        _, tasks = self._peer_reports.pop(daemon, (0.0, ()))
        for task in tasks:
            remaining = [
                w for w in self._tasks_by_engine[task.server] if w is not task
            ]
            if remaining:
                self._tasks_by_engine[task.server] = remaining
            else:
                del self._tasks_by_engine[task.server]
