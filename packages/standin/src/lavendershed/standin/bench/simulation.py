"""Several routers in front of engines, on one virtual clock."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.routing import admission
from lavendershed.routing import attempts
from lavendershed.routing import engine_fleet
from lavendershed.routing import limits
from lavendershed.routing import oversized
from lavendershed.routing import prompt_classes
from lavendershed.routing import scheduler as scheduler_module
from lavendershed.standin import engine_model
from lavendershed.standin.bench import policies
from lavendershed.standin.bench import simulated_engine
from lavendershed.standin.bench import workload

_SAME_ZONE_DELAY = units.Seconds(0.0001)
_POLL_INTERVAL = units.Seconds(0.25)
_CACHE_POLL_INTERVAL = units.Seconds(1.0)
_CACHE_EVENT_DELAY = units.Seconds(0.5)
_DIGEST_INTERVAL = units.Seconds(0.5)
_DIGEST_LOSS = 0.01
# Time from a change of load to the digest that tells of it, if it is sent on
# its own and not with the next message between daemons.
PROMPT_DIGEST_DELAY = units.Seconds(0.005)
_DRAIN = units.Seconds(700.0)


@dataclasses.dataclass(slots=True)
class Record:
    """What happened to one request; times are seconds after its arrival."""

    number: int
    prompt_class: states.PromptClass
    prompt_tokens: int
    at: units.Instant
    engine: str = ""
    reason: str = ""
    waited: float | None = None
    first_token: float | None = None
    end: float | None = None
    refusal: states.FailureReason | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Records of one run and the busy share of the engines."""

    records: tuple[Record, ...]
    busy: float
    cached_share: float


class _Router:
    """One daemon: a scheduler with its own view, behind network delays."""

    def __init__(
        self,
        number: int,
        simulation: Simulation,
        chooser_factory: policies.ChooserFactory,
        seed: str,
    ) -> None:
        deployment = simulation.deployment
        self.zone = number % 3
        self.name = ids.VmId(f"vm-{number}")
        self._simulation = simulation
        self._deployment = deployment
        self._timers = simulation.timers
        self._random = random.Random(seed)
        self._service = workload.service(deployment)
        self._arrivals: dict[
            attempts.Ticket, tuple[workload.Arrival, Record]
        ] = {}
        self._running: dict[
            attempts.Ticket, simulated_engine.SimulatedEngine
        ] = {}
        self._digest_pending = False
        self.scheduler = scheduler_module.ServiceScheduler(
            self._service,
            deployment.preset,
            engine_fleet.EngineFleet(
                self.name, engine_fleet.AlwaysAvailable(), self._random
            ),
            chooser_factory(workload.ENGINE.prefill_rate),
            admission.Admission(
                limits.OrganisationLimits(limits.FullShare()),
                oversized.RefuseOversized(),
            ),
        )

    def start_polling(self) -> None:
        for name, engine in self._simulation.engines.items():
            for interval, poll in (
                (_POLL_INTERVAL, self._poll_load),
                (_CACHE_POLL_INTERVAL, self._poll_cache),
            ):
                self._start_poll(interval, poll, name, engine)
        phase = self._random.uniform(0.0, _DIGEST_INTERVAL)
        self._after(
            phase,
            lambda: self._timers.schedule_every(
                _DIGEST_INTERVAL, self._send_digest
            ),
        )

    def arrive(self, arrival: workload.Arrival, record: Record) -> None:
        attempt = attempts.Attempt(
            attempts.Ticket(arrival.number),
            arrival.organisation,
            record.prompt_class,
            arrival.prompt_tokens,
            arrival.max_tokens,
            deadlines.Deadline.from_timeout(arrival.at, arrival.timeout),
            arrival.block_hashes,
        )
        self._arrivals[attempt.ticket] = (arrival, record)
        self._execute(self.scheduler.on_arrival(attempt, self._timers.now()))
        if attempt.ticket in self._arrivals:
            self._timers.schedule_at(
                attempt.deadline.at, lambda: self._on_deadline(attempt)
            )

    def _execute(self, commands: tuple[scheduler_module.Command, ...]) -> None:
        for command in commands:
            if isinstance(command, scheduler_module.Queue):
                continue
            ticket = command.attempt.ticket
            arrival, record = self._arrivals[ticket]
            record.waited = self._timers.now() - arrival.at
            if isinstance(command, scheduler_module.Refuse):
                del self._arrivals[ticket]
                record.refusal = command.failure.reason
                continue
            record.engine = command.engine
            record.reason = command.reason
            self._send(command, arrival, record)

    def _send(
        self,
        command: scheduler_module.Dispatch,
        arrival: workload.Arrival,
        record: Record,
    ) -> None:
        ticket = command.attempt.ticket
        engine = self._simulation.engines[command.engine]
        delay = self._simulation.delay(self.zone, engine.zone)
        spec = engine_model.StreamSpec(
            ids.StreamId(str(ticket)),
            arrival.prompt_tokens,
            arrival.max_tokens,
            command.priority,
            arrival.block_hashes,
        )
        stream = simulated_engine.SimulatedStream(
            lambda: self._after(delay, lambda: self._on_first_token(ticket)),
            lambda: self._after(delay, lambda: self._on_end(ticket)),
        )
        self._running[ticket] = engine
        self._after(delay, lambda: engine.submit(spec, stream))
        self._digest_soon()

    def _digest_soon(self) -> None:
        if not self._digest_pending:
            self._digest_pending = True
            self._after(self._simulation.digest_delay, self._send_digest)

    def _on_first_token(self, ticket: attempts.Ticket) -> None:
        if ticket not in self._arrivals:
            return
        arrival, record = self._arrivals[ticket]
        record.first_token = self._since(arrival)
        now = self._timers.now()
        self._execute(self.scheduler.on_first_token(ticket, now))
        self._digest_soon()

    def _on_end(self, ticket: attempts.Ticket) -> None:
        if ticket not in self._arrivals:
            return
        arrival, record = self._arrivals.pop(ticket)
        record.end = self._since(arrival)
        del self._running[ticket]
        self._execute(self.scheduler.on_release(ticket, self._timers.now()))

    def _on_deadline(self, attempt: attempts.Attempt) -> None:
        if attempt.ticket not in self._arrivals:
            return
        now = self._timers.now()
        engine = self._running.pop(attempt.ticket, None)
        if engine is None:
            self._execute(self.scheduler.on_deadline(attempt, now))
            return
        del self._arrivals[attempt.ticket]
        stream = ids.StreamId(str(attempt.ticket))
        delay = self._simulation.delay(self.zone, engine.zone)
        self._after(delay, lambda: engine.cancel(stream))
        self._execute(self.scheduler.on_release(attempt.ticket, now))

    def _since(self, arrival: workload.Arrival) -> float:
        now = self._timers.now()
        return now - arrival.at + self._deployment.client_delay

    def _start_poll(
        self,
        interval: units.Seconds,
        poll: policies.Poll,
        name: ids.BackendServerId,
        engine: simulated_engine.SimulatedEngine,
    ) -> None:
        self._after(
            self._random.uniform(0.0, interval),
            lambda: self._timers.schedule_every(
                interval, lambda: poll(name, engine)
            ),
        )

    def _poll_load(
        self,
        name: ids.BackendServerId,
        engine: simulated_engine.SimulatedEngine,
    ) -> None:
        delay = self._simulation.delay(self.zone, engine.zone)

        def read() -> None:
            report = engine.report
            self._after(delay, lambda: self._on_report(name, report))

        self._after(delay, read)

    def _on_report(
        self, name: ids.BackendServerId, report: backend_servers.LoadReport
    ) -> None:
        now = self._timers.now()
        self._execute(self.scheduler.on_load_report(name, report, now))

    def _poll_cache(
        self,
        name: ids.BackendServerId,
        engine: simulated_engine.SimulatedEngine,
    ) -> None:
        view = self.scheduler.fleet.view(name)
        assert view is not None
        oldest = self._timers.now() - _CACHE_EVENT_DELAY
        last = view.prefixes.sequence
        events = []
        for at, event in reversed(engine.cache_events):
            if event.sequence <= last:
                break
            if at <= oldest:
                events.append(event)
        self.scheduler.on_cache_events(name, tuple(reversed(events)))

    def _send_digest(self) -> None:
        self._digest_pending = False
        loads = [
            view.local_load
            for view in self.scheduler.fleet.views
            if view.outstanding
        ]
        for peer in self._simulation.routers:
            if peer is self or self._random.random() < _DIGEST_LOSS:
                continue
            delay = self._simulation.delay(self.zone, peer.zone)
            self._after(
                delay,
                lambda peer=peer: peer.scheduler.on_peer_loads(  # type: ignore[misc]
                    self.name, loads, self._timers.now()
                ),
            )

    def _after(self, delay: float, callback: Callable[[], object]) -> None:
        self._simulation.after(delay, callback)


class Simulation:
    """One run of one policy on one trace."""

    def __init__(
        self,
        deployment: workload.Deployment,
        chooser_factory: policies.ChooserFactory,
        seed: int,
        digest_delay: units.Seconds = PROMPT_DIGEST_DELAY,
    ) -> None:
        self.deployment = deployment
        self.digest_delay = digest_delay
        self.timers = timers.VirtualTimerService()
        self._random = random.Random(f"balancer/{seed}")
        self.engines = {
            server.name: simulated_engine.SimulatedEngine(
                n, self.timers, f"engine/{seed}/{n}"
            )
            for n, server in enumerate(
                workload.service(deployment).backend_servers
            )
        }
        self.routers = [
            _Router(n, self, chooser_factory, f"router/{seed}/{n}")
            for n in range(deployment.routers)
        ]

    def run(
        self, arrivals: list[workload.Arrival], duration: units.Seconds
    ) -> Outcome:
        """Runs a trace to the end of its last request."""
        for router in self.routers:
            router.start_polling()
        records = [self._schedule(arrival) for arrival in arrivals]
        self.timers.advance(duration)
        busy = sum(engine.busy for engine in self.engines.values())
        share = busy / (duration * len(self.engines))
        waited = 0.0
        while waited < _DRAIN and any(
            not engine.model.idle for engine in self.engines.values()
        ):
            self.timers.advance(units.Seconds(5.0))
            waited += 5.0
        prefilled = sum(engine.prefilled for engine in self.engines.values())
        offered = sum(
            r.prompt_tokens for r in records if r.first_token is not None
        )
        return Outcome(tuple(records), share, 1.0 - prefilled / max(1, offered))

    def after(self, delay: float, callback: Callable[[], object]) -> None:
        """Calls `callback` after `delay` seconds."""
        when = units.after(self.timers.now(), units.Seconds(delay))
        self.timers.schedule_at(when, callback)

    def delay(self, zone: int, other: int) -> units.Seconds:
        """Returns the one-way delay between two availability zones."""
        if zone == other:
            return _SAME_ZONE_DELAY
        return self.deployment.zone_delay

    def _schedule(self, arrival: workload.Arrival) -> Record:
        record = Record(
            arrival.number,
            prompt_classes.classify(
                arrival.prompt_tokens,
                arrival.max_tokens,
                workload.ENGINE.kv_tokens,
            ),
            arrival.prompt_tokens,
            arrival.at,
        )
        router = self._random.choice(self.routers)
        reached = units.after(arrival.at, self.deployment.client_delay)
        self.timers.schedule_at(reached, lambda: router.arrive(arrival, record))
        return record


def run(
    deployment: workload.Deployment,
    policy: policies.Policy,
    load: float,
    duration: units.Seconds,
    seed: int,
    short_only: bool = False,
    digest_delay: units.Seconds = PROMPT_DIGEST_DELAY,
) -> Outcome:
    """Runs one policy on one trace.

    With `short_only` all but the short prompts are left out; the arrivals of
    those stay the same.
    """
    arrivals = workload.trace(deployment, load, duration, seed)
    if short_only:
        arrivals = [
            a for a in arrivals if a.prompt_tokens <= prompt_classes.SHORT_LIMIT
        ]
    simulation = Simulation(
        deployment, policies.FACTORIES[policy], seed, digest_delay
    )
    return simulation.run(arrivals, duration)
