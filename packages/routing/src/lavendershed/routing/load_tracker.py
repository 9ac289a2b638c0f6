"""Requests in progress of all daemons at the model engines."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units

# A daemon reports its tasks every second. Without a report for this long it has
# stopped or is unreachable, and its requests are about to end too.
PEER_TIMEOUT = units.Seconds(3.0)


@dataclasses.dataclass(slots=True)
class EngineTask:
    """Work of one engine for one request.

    A prompt that several engines prefill in parallel has a task at each.

    Attributes:
        request: Number shared by all tasks of a request.
        server: The engine.
        phase: Whether the engine prefills or decodes.
        prefill_ms: Prefill time of this task's shard of the prompt.
        first_token_at: Predicted time of the first token.
        completes_at: Predicted end of the answer.
        kv_tokens: KV cache that the task occupies.
        context_tokens: Tokens that each decode step attends to.
        target_inter_token_latency: Target for the time between two events.
        first_token_due_at: Time by which the first token is due.
        utility: Value of the request if it meets its latency targets.
        urgent: Whether engines run it before requests that are expected to
            miss their target anyway. Shards always run first.
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


# An iteration prefills about 100,000 tokens, which takes up to some seconds
# including the attention of a long prompt.
_MAX_ITERATION = units.Seconds(3.0)

# Expected remaining time of a request that is past its predicted end: half an
# iteration of an engine with some decoding requests.
_OVERDUE_WAIT_MS = 25.0

# Time over which the rate of new requests is measured.
_ARRIVAL_PERIOD = units.Seconds(1.0)
# Bounds the memory and the time to count; the largest fleet places 250 requests
# per second.
_MAX_ARRIVALS = 1_000

# Called with whether the change is urgent.
ChangeListener = Callable[[bool], object]


class EngineLoad:
    """Tasks of one engine at one moment; durations in milliseconds.

    Prefills that are not urgent run only while no urgent ones are queued, so
    that they count towards KV cache usage only.
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
        """Number of requests in the prefill or decode phase."""
        return len(self.decoding) + len(self.prefilling)

    def slot_wait_ms(self, now: units.Instant, slots: int) -> float:
        """Returns the predicted time until a batch slot is free."""
        completions = sorted(
            task.completes_at
            for task in itertools.chain(self.decoding, self.prefilling)
            if task.kv_tokens
        )
        excess = len(completions) - slots
        if excess < 0:
            return 0.0
        return max((completions[excess] - now) * 1_000, _OVERDUE_WAIT_MS)

    def prefill_backlog_ms(
        self, now: units.Instant, iteration_ms: float
    ) -> float:
        """Returns the remaining prefill time of the queued prompts."""
        if not self.prefilling:
            return 0.0
        total_ms = sum(task.prefill_ms for task in self.prefilling)
        last_first_token_at = max(
            task.first_token_at for task in self.prefilling
        )
        remaining_ms = (last_first_token_at - now) * 1_000 - iteration_ms
        # An overdue prefill is not complete, because its first token would
        # have been seen.
        return min(total_ms, max(remaining_ms, total_ms / 4))


class LoadTracker:
    """Tasks of this daemon and of its peers, indexed by engine.

    Each report of a daemon contains its complete state, so that the next
    report makes up for a lost one.
    """

    def __init__(self) -> None:
        self._task_ids = itertools.count()
        self._local_tasks: dict[int, EngineTask] = {}
        self._peer_reports: dict[
            ids.Incarnation, tuple[units.Instant, tuple[EngineTask, ...]]
        ] = {}
        self._tasks_by_engine: dict[ids.BackendServerId, list[EngineTask]] = {}
        self._cancelled: set[int] = set()
        # Times at which requests of all daemons were placed or reported.
        self._arrivals: collections.deque[units.Instant] = collections.deque(
            maxlen=_MAX_ARRIVALS
        )
        self._report_delay = units.Seconds(0.0)
        self._listeners: list[ChangeListener] = []
        self._capacity_listeners: list[Callable[[], object]] = []

    @property
    def local_tasks(self) -> tuple[EngineTask, ...]:
        """Tasks placed by this daemon."""
        return tuple(self._local_tasks.values())

    def set_report_delay(self, delay: units.Seconds) -> None:
        """Sets the time after which daemons know of a placement elsewhere."""
        self._report_delay = delay

    def unseen_requests(self, now: units.Instant) -> float:
        """Returns how many placed requests no report contains yet, on average.

        It is the rate of new requests times the delay of their reports.
        """
        while self._arrivals and now - self._arrivals[0] > _ARRIVAL_PERIOD:
            self._arrivals.popleft()
        return len(self._arrivals) / _ARRIVAL_PERIOD * self._report_delay

    def age(self, now: units.Instant) -> units.Seconds:
        """Returns the age of the oldest peer report; 0 without any."""
        return units.Seconds(
            max(
                (now - at for at, _ in self._peer_reports.values()), default=0.0
            )
        )

    def subscribe(self, listener: ChangeListener) -> None:
        """Calls `listener` after each change of the local tasks.

        A new task is an urgent change, because peers that don't know of it
        may choose the same engine. Progress and ends are not urgent: until
        they are reported, peers overestimate the load, which is safe.
        """
        self._listeners.append(listener)

    def subscribe_capacity(self, listener: Callable[[], object]) -> None:
        """Calls `listener` when tasks of any daemon progress or end."""
        self._capacity_listeners.append(listener)

    def add(self, task: EngineTask) -> int:
        """Adds a local task and returns its id."""
        task_id = next(self._task_ids)
        self._local_tasks[task_id] = task
        self._tasks_by_engine.setdefault(task.server, []).append(task)
        self._notify_listeners(urgent=True)
        return task_id

    def on_first_token(self, task_ids: Iterable[int]) -> None:
        """Moves the tasks of a request from prefill to decode.

        Engines without KV cache of the request are done; those that hold a
        part of it take part in each decode step.
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
        """Ends a local task whose attempt has ended or was cancelled.

        An engine completes the iteration of a prefill that is under way, so
        that the task counts as load until its predicted first token, at most
        `_MAX_ITERATION` from now.
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
        """Removes a local task; unknown ids are ignored."""
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
        """Replaces the tasks of another daemon."""
        _, known_tasks = self._peer_reports.get(daemon, (now, ()))
        known_requests = {task.request for task in known_tasks}
        new_requests = {task.request for task in tasks} - known_requests
        self._arrivals.extend(itertools.repeat(now, len(new_requests)))
        self._remove_peer(daemon)
        self._peer_reports[daemon] = (now, tasks)
        for task in tasks:
            self._tasks_by_engine.setdefault(task.server, []).append(task)
        if known_tasks:
            self._notify_capacity_listeners()

    def on_alive(self, daemon: ids.Incarnation, now: units.Instant) -> bool:
        """Keeps the tasks of a daemon that reports no change.

        Returns:
            Whether its tasks are known; they may have expired meanwhile.
        """
        report = self._peer_reports.get(daemon)
        if report is None:
            return False
        self._peer_reports[daemon] = (now, report[1])
        return True

    def expire(self, now: units.Instant) -> None:
        """Removes cancelled tasks that have ended, and expired daemons.

        A daemon expires after `PEER_TIMEOUT` without a report.
        """
        ended = [
            task_id
            for task_id in self._cancelled
            if self._local_tasks[task_id].first_token_at <= now
        ]
        for task_id in ended:
            self._cancelled.discard(task_id)
            self.remove(task_id)
        expired = [
            daemon
            for daemon, (at, _) in self._peer_reports.items()
            if now - at > PEER_TIMEOUT
        ]
        for daemon in expired:
            self._remove_peer(daemon)

    def request_count(self, daemon: ids.Incarnation) -> int:
        """Returns how many requests another daemon has at engines."""
        _, tasks = self._peer_reports.get(daemon, (0.0, ()))
        return len({task.request for task in tasks})

    def load(self, server: ids.BackendServerId) -> EngineLoad:
        """Returns the current load of an engine."""
        return EngineLoad(self._tasks_by_engine.get(server, ()))

    def _notify_capacity_listeners(self) -> None:
        for listener in self._capacity_listeners:
            listener()

    def _notify_listeners(self, *, urgent: bool) -> None:
        if not urgent:
            self._notify_capacity_listeners()
        for listener in self._listeners:
            listener(urgent)

    def _remove_peer(self, daemon: ids.Incarnation) -> None:
        _, tasks = self._peer_reports.pop(daemon, (0.0, ()))
        for task in tasks:
            remaining = [
                other
                for other in self._tasks_by_engine[task.server]
                if other is not task
            ]
            if remaining:
                self._tasks_by_engine[task.server] = remaining
            else:
                del self._tasks_by_engine[task.server]
