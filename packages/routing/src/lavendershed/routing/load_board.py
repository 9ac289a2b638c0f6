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
PEER_LIFETIME = units.Seconds(3.0)


@dataclasses.dataclass(slots=True)
class Work:
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
    read_ms: float
    ready_at: units.Instant
    ends_at: units.Instant
    memory: int
    context: int
    longest_pause: units.Seconds
    due_at: units.Instant
    credit: float
    urgent: bool = True


# An engine reads about 100,000 tokens in a pass, which takes up to some seconds
# with the pairs of a long prompt.
_LONGEST_PASS = units.Seconds(3.0)

# Half of a pass of an engine with some writers.
_OVERDUE_MS = 25.0

# Takes whether the change is urgent.
ChangeListener = Callable[[bool], object]


class EngineLoad:
    """Work at one engine at one moment; durations in milliseconds.

    Reads that are not urgent wait until nothing else does, so that they take
    memory and nothing more.
    """

    __slots__ = ("context", "memory", "reads", "writers")

    def __init__(self, works: Iterable[Work]) -> None:
        self.writers: list[Work] = []
        self.reads: list[Work] = []
        self.memory = 0
        self.context = 0
        for work in works:
            self.memory += work.memory
            if work.phase is forwarding_states.InferencePhase.DECODE:
                self.writers.append(work)
                self.context += work.context
            elif work.urgent:
                self.reads.append(work)

    @property
    def requests(self) -> int:
        """Requests that read or write here."""
        return len(self.writers) + len(self.reads)

    def slot_wait_ms(self, now: units.Instant, slots: int) -> float:
        """Returns the time until one of the engine's slots is free."""
        ends = sorted(
            work.ends_at
            for work in itertools.chain(self.writers, self.reads)
            if work.memory
        )
        surplus = len(ends) - slots
        if surplus < 0:
            return 0.0
        # A request that should have ended ends soon.
        return max((ends[surplus] - now) * 1_000, _OVERDUE_MS)

    def backlog_ms(self, now: units.Instant, pass_ms: float) -> float:
        """Returns the reading time that is left here."""
        if not self.reads:
            return 0.0
        total = sum(work.read_ms for work in self.reads)
        latest = max(work.ready_at for work in self.reads)
        left = (latest - now) * 1_000 - pass_ms
        # A read that is overdue has not ended: its first token would be known.
        return min(total, max(left, total / 4))


class LoadBoard:
    """Own and reported work, by engine.

    A report of a daemon replaces all that it reported before, so that a lost
    report is mended by the next one.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._own: dict[int, Work] = {}
        self._peers: dict[
            ids.Incarnation, tuple[units.Instant, tuple[Work, ...]]
        ] = {}
        self._index: dict[ids.BackendServerId, list[Work]] = {}
        self._abandoned: set[int] = set()
        self._listeners: list[ChangeListener] = []

    @property
    def own(self) -> tuple[Work, ...]:
        """Work that this daemon has placed."""
        return tuple(self._own.values())

    def age(self, now: units.Instant) -> units.Seconds:
        """Returns the age of the oldest report; 0 without any."""
        return units.Seconds(
            max((now - at for at, _ in self._peers.values()), default=0.0)
        )

    def subscribe(self, listener: ChangeListener) -> None:
        """Calls `listener` after each change of the own work.

        New work is urgent: others choose worse as long as they don't know of
        it. What they believe of work that has gone on or ended is on the safe
        side.
        """
        self._listeners.append(listener)

    def add(self, work: Work) -> int:
        """Adds own work; returns the number to refer to it."""
        number = next(self._numbers)
        self._own[number] = work
        self._index.setdefault(work.server, []).append(work)
        self._changed(urgent=True)
        return number

    def start_writing(self, numbers: Iterable[int]) -> None:
        """Notes that the first token of a request has arrived.

        Engines that only read for it are done; those that hold its memory
        take part in each step.
        """
        for number in numbers:
            work = self._own.get(number)
            if (
                work is None
                or work.phase is forwarding_states.InferencePhase.DECODE
            ):
                continue
            if work.memory:
                work.phase = forwarding_states.InferencePhase.DECODE
                self._changed(urgent=False)
            else:
                self.remove(number)

    def abandon(self, number: int, now: units.Instant) -> None:
        """Ends own work whose request was given up.

        An engine that reads ends its pass all the same, so that the work
        counts until its predicted end, at most `_LONGEST_PASS` from now.
        """
        work = self._own.get(number)
        if (
            work is None
            or work.phase is forwarding_states.InferencePhase.DECODE
            or work.ready_at <= now
        ):
            self.remove(number)
            return
        work.memory = work.context = 0
        work.credit = 0.0
        work.ready_at = min(work.ready_at, units.after(now, _LONGEST_PASS))
        self._abandoned.add(number)
        self._changed(urgent=False)

    def remove(self, number: int) -> None:
        """Removes own work; unknown numbers are ignored."""
        work = self._own.pop(number, None)
        if work is not None:
            self._index[work.server].remove(work)
            self._changed(urgent=False)

    def on_report(
        self,
        daemon: ids.Incarnation,
        works: tuple[Work, ...],
        now: units.Instant,
    ) -> None:
        """Replaces the work of another daemon."""
        self._forget(daemon)
        self._peers[daemon] = (now, works)
        for work in works:
            self._index.setdefault(work.server, []).append(work)

    def expire(self, now: units.Instant) -> None:
        """Forgets abandoned work that has ended, and silent daemons.

        A daemon is silent after `PEER_LIFETIME` without a report.
        """
        ended = [
            number
            for number in self._abandoned
            if self._own[number].ready_at <= now
        ]
        for number in ended:
            self._abandoned.discard(number)
            self.remove(number)
        silent = [
            daemon
            for daemon, (at, _) in self._peers.items()
            if now - at > PEER_LIFETIME
        ]
        for daemon in silent:
            self._forget(daemon)

    def load(self, server: ids.BackendServerId) -> EngineLoad:
        """Returns the work at an engine."""
        return EngineLoad(self._index.get(server, ()))

    def _changed(self, *, urgent: bool) -> None:
        for listener in self._listeners:
            listener(urgent)

    def _forget(self, daemon: ids.Incarnation) -> None:
        _, works = self._peers.pop(daemon, (0.0, ()))
        for work in works:
            left = [w for w in self._index[work.server] if w is not work]
            if left:
                self._index[work.server] = left
            else:
                del self._index[work.server]
