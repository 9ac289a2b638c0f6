"""Simulation of routers and engines in virtual time."""

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
from lavendershed.standin import engine_timing_model
from lavendershed.standin.bench import policies
from lavendershed.standin.bench import simulated_engine
from lavendershed.standin.bench import workload

_SAME_ZONE_DELAY = units.Seconds(0.0001)
_POLL_INTERVAL = units.Seconds(0.25)
_CACHE_POLL_INTERVAL = units.Seconds(1.0)
_CACHE_EVENT_DELAY = units.Seconds(0.5)
_DIGEST_INTERVAL = units.Seconds(0.5)
_DIGEST_LOSS_SHARE = 0.01
# Delay from a change of load to its digest, if the digest is sent separately
# and not with the next periodic message between daemons.
IMMEDIATE_DIGEST_DELAY = units.Seconds(0.005)
_DRAIN_LIMIT = units.Seconds(700.0)


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Result of one request; durations are in seconds after its arrival."""

    number: int
    prompt_class: states.PromptClass
    prompt_tokens: int
    arrived_at: units.Instant
    engine: str = ""
    reason: str = ""
    queue_time_s: float | None = None
    first_token_s: float | None = None
    total_s: float | None = None
    refusal: states.FailureReason | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Records of one run, and the engines' busy and cache hit shares."""

    records: tuple[RequestRecord, ...]
    busy_share: float
    cached_share: float


class _Router:
    """A router: a scheduler with its own view and network delays."""

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
            attempts.Ticket, tuple[workload.Arrival, RequestRecord]
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
        initial_delay = self._random.uniform(0.0, _DIGEST_INTERVAL)
        self._after(
            initial_delay,
            lambda: self._timers.schedule_every(
                _DIGEST_INTERVAL, self._send_digest
            ),
        )

    def on_arrival(
        self, arrival: workload.Arrival, record: RequestRecord
    ) -> None:
        attempt = attempts.Attempt(
            attempts.Ticket(arrival.number),
            arrival.organisation,
            record.prompt_class,
            arrival.prompt_tokens,
            arrival.max_tokens,
            deadlines.Deadline.from_timeout(
                arrival.arrived_at, arrival.timeout
            ),
            arrival.block_hashes,
        )
        self._arrivals[attempt.ticket] = (arrival, record)
        self._execute_commands(
            self.scheduler.on_arrival(attempt, self._timers.now())
        )
        if attempt.ticket in self._arrivals:
            self._timers.schedule_at(
                attempt.deadline.at, lambda: self._on_deadline(attempt)
            )

    def _execute_commands(
        self, commands: tuple[scheduler_module.Command, ...]
    ) -> None:
        for command in commands:
            if isinstance(command, scheduler_module.Queue):
                continue
            ticket = command.attempt.ticket
            arrival, record = self._arrivals[ticket]
            record.queue_time_s = self._timers.now() - arrival.arrived_at
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
        record: RequestRecord,
    ) -> None:
        ticket = command.attempt.ticket
        engine = self._simulation.engines[command.engine]
        delay = self._simulation.delay(self.zone, engine.zone)
        spec = engine_timing_model.StreamSpec(
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
        self._schedule_digest()

    def _schedule_digest(self) -> None:
        if not self._digest_pending:
            self._digest_pending = True
            self._after(self._simulation.digest_delay, self._send_digest)

    def _on_first_token(self, ticket: attempts.Ticket) -> None:
        if ticket not in self._arrivals:
            return
        arrival, record = self._arrivals[ticket]
        record.first_token_s = self._elapsed_for_caller(arrival)
        now = self._timers.now()
        self._execute_commands(self.scheduler.on_first_token(ticket, now))
        self._schedule_digest()

    def _on_end(self, ticket: attempts.Ticket) -> None:
        if ticket not in self._arrivals:
            return
        arrival, record = self._arrivals.pop(ticket)
        record.total_s = self._elapsed_for_caller(arrival)
        del self._running[ticket]
        self._execute_commands(
            self.scheduler.on_release(ticket, self._timers.now())
        )

    def _on_deadline(self, attempt: attempts.Attempt) -> None:
        if attempt.ticket not in self._arrivals:
            return
        now = self._timers.now()
        engine = self._running.pop(attempt.ticket, None)
        if engine is None:
            self._execute_commands(self.scheduler.on_deadline(attempt, now))
            return
        del self._arrivals[attempt.ticket]
        stream_id = ids.StreamId(str(attempt.ticket))
        delay = self._simulation.delay(self.zone, engine.zone)
        self._after(delay, lambda: engine.cancel(stream_id))
        self._execute_commands(self.scheduler.on_release(attempt.ticket, now))

    def _elapsed_for_caller(self, arrival: workload.Arrival) -> float:
        now = self._timers.now()
        return now - arrival.arrived_at + self._deployment.client_delay

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

        def read_report() -> None:
            report = engine.report
            self._after(delay, lambda: self._on_report(name, report))

        self._after(delay, read_report)

    def _on_report(
        self, name: ids.BackendServerId, report: backend_servers.LoadReport
    ) -> None:
        now = self._timers.now()
        self._execute_commands(self.scheduler.on_load_report(name, report, now))

    def _poll_cache(
        self,
        name: ids.BackendServerId,
        engine: simulated_engine.SimulatedEngine,
    ) -> None:
        view = self.scheduler.fleet.view(name)
        assert view is not None
        visible_until = self._timers.now() - _CACHE_EVENT_DELAY
        last_sequence = view.held.sequence
        events = []
        for recorded_at, event in reversed(engine.cache_events):
            if event.sequence <= last_sequence:
                break
            if recorded_at <= visible_until:
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
            if peer is self or self._random.random() < _DIGEST_LOSS_SHARE:
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
    """Runs one policy on one trace."""

    def __init__(
        self,
        deployment: workload.Deployment,
        chooser_factory: policies.ChooserFactory,
        seed: int,
        digest_delay: units.Seconds = IMMEDIATE_DIGEST_DELAY,
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
    ) -> RunResult:
        """Runs a trace until its last request has ended."""
        for router in self.routers:
            router.start_polling()
        records = [self._schedule(arrival) for arrival in arrivals]
        self.timers.advance(duration)
        busy_s = sum(engine.busy_s for engine in self.engines.values())
        busy_share = busy_s / (duration * len(self.engines))
        drained_s = 0.0
        while drained_s < _DRAIN_LIMIT and any(
            not engine.model.idle for engine in self.engines.values()
        ):
            self.timers.advance(units.Seconds(5.0))
            drained_s += 5.0
        prefilled_tokens = sum(
            engine.prefilled_tokens for engine in self.engines.values()
        )
        prompt_tokens = sum(
            r.prompt_tokens for r in records if r.first_token_s is not None
        )
        return RunResult(
            tuple(records),
            busy_share,
            1.0 - prefilled_tokens / max(1, prompt_tokens),
        )

    def after(self, delay: float, callback: Callable[[], object]) -> None:
        """Calls `callback` after `delay` seconds."""
        when = units.after(self.timers.now(), units.Seconds(delay))
        self.timers.schedule_at(when, callback)

    def delay(self, source_zone: int, target_zone: int) -> units.Seconds:
        """Returns the one-way delay between two availability zones."""
        if source_zone == target_zone:
            return _SAME_ZONE_DELAY
        return self.deployment.zone_delay

    def _schedule(self, arrival: workload.Arrival) -> RequestRecord:
        record = RequestRecord(
            arrival.number,
            prompt_classes.classify(
                arrival.prompt_tokens,
                arrival.max_tokens,
                workload.ENGINE.kv_tokens,
            ),
            arrival.prompt_tokens,
            arrival.arrived_at,
        )
        router = self._random.choice(self.routers)
        router_arrival = units.after(
            arrival.arrived_at, self.deployment.client_delay
        )
        self.timers.schedule_at(
            router_arrival, lambda: router.on_arrival(arrival, record)
        )
        return record


def run(
    deployment: workload.Deployment,
    policy: policies.Policy,
    load: float,
    duration: units.Seconds,
    seed: int,
    short_only: bool = False,
    digest_delay: units.Seconds = IMMEDIATE_DIGEST_DELAY,
) -> RunResult:
    """Runs one policy on one trace.

    With `short_only`, only short prompts are sent, at the same arrival times.
    """
    arrivals = workload.generate_trace(deployment, load, duration, seed)
    if short_only:
        arrivals = [
            a for a in arrivals if a.prompt_tokens <= prompt_classes.SHORT_LIMIT
        ]
    simulation = Simulation(
        deployment, policies.FACTORIES[policy], seed, digest_delay
    )
    return simulation.run(arrivals, duration)
