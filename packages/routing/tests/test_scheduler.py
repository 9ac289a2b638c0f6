"""Tests admission, queueing and engine selection of one service."""

from __future__ import annotations

import collections
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.configuration import model
from lavendershed.core import backend_servers
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import admission
from lavendershed.routing import attempts
from lavendershed.routing import chooser
from lavendershed.routing import engine_fleet
from lavendershed.routing import limits
from lavendershed.routing import oversized
from lavendershed.routing import prompt_classes
from lavendershed.routing import scheduler

ORGANISATION = ids.OrganisationId("press")
MEMORY = units.Tokens(400_000)
PRESET = model.Preset(ids.PresetName("ordinary"))
START = units.Instant(100.0)


def service(engines):
    """Returns a service with the given number of engines."""
    return model.Service(
        ids.ServiceId("drafting"),
        states.ServiceKind.MODEL_ENGINE,
        tuple(
            model.BackendServer(
                ids.BackendServerId(f"engine-{n}"),
                f"127.0.0.1:{n + 1}",
                ids.AvailabilityZoneId("zone-a"),
            )
            for n in range(engines)
        ),
        engine_memory_tokens=MEMORY,
    )


def build_scheduler(engines=4, preset=PRESET, organisation_limits=None):
    """Returns a scheduler that selects engines by predicted cost."""
    return scheduler.ServiceScheduler(
        service(engines),
        preset,
        engine_fleet.EngineFleet(
            ids.VmId("vm-1"),
            engine_fleet.AlwaysAvailable(),
            random.Random(7),
        ),
        chooser.PredictedCost(20_000.0),
        admission.Admission(
            organisation_limits
            or limits.OrganisationLimits(limits.FullShare()),
            oversized.RefuseOversized(),
        ),
    )


def attempt(ticket, tokens, timeout=60.0, answer=100, **fields):
    """Returns an attempt that arrives at START."""
    return attempts.Attempt(
        attempts.Ticket(ticket),
        ORGANISATION,
        prompt_classes.classify(tokens, answer, MEMORY),
        units.Tokens(tokens),
        units.Tokens(answer),
        deadlines.Deadline(units.Instant(START + timeout)),
        **fields,
    )


def report(timestamp, prefill=0, running=0):
    """Returns a load report with no memory in use."""
    return backend_servers.LoadReport(
        timestamp,
        ids.Incarnation(1),
        running,
        0,
        units.Tokens(prefill),
        units.Bytes(0),
        units.Bytes(400),
        states.EngineRole.GENERAL,
        (),
        False,
    )


class SchedulerTest(unittest.TestCase):
    """Fails if a request is dispatched, queued or refused wrongly."""

    def refusal(self, commands):
        self.assertIsInstance(commands[0], scheduler.Refuse, commands)
        failure = commands[0].failure
        self.assertIs(failure.execution, states.Execution.NOT_RUN)
        return failure.reason

    def test_short_prompt_avoids_the_engine_that_prefills_a_long_one(self):
        for seed in range(10):
            service_scheduler = build_scheduler(engines=2)
            (first,) = service_scheduler.on_arrival(attempt(1, 300_000), START)
            for ticket in range(2, 2 + seed):
                (second,) = service_scheduler.on_arrival(
                    attempt(ticket, 2_000), START
                )
                self.assertNotEqual(second.engine, first.engine)

    def test_reported_load_of_other_daemons_is_avoided(self):
        service_scheduler = build_scheduler(engines=2)
        busy = service_scheduler.fleet.views[0].name
        service_scheduler.on_load_report(
            busy, report(1.0, prefill=200_000), START
        )
        (command,) = service_scheduler.on_arrival(attempt(1, 2_000), START)
        self.assertNotEqual(command.engine, busy)

    def test_cached_prefix_attracts_a_prompt(self):
        blocks = tuple(range(100))
        service_scheduler = build_scheduler(engines=4)
        (first,) = service_scheduler.on_arrival(
            attempt(1, 51_200, block_hashes=blocks), START
        )
        service_scheduler.on_release(attempts.Ticket(1), START)
        (second,) = service_scheduler.on_arrival(
            attempt(2, 51_200, block_hashes=blocks), START
        )
        self.assertEqual(second.engine, first.engine)
        self.assertIn("cached 51200", second.reason)

    def test_prompt_that_may_have_crashed_an_engine_is_not_attracted(self):
        blocks = tuple(range(100))
        service_scheduler = build_scheduler(engines=4)
        service_scheduler.on_arrival(
            attempt(1, 51_200, block_hashes=blocks), START
        )
        service_scheduler.on_release(attempts.Ticket(1), START)
        (second,) = service_scheduler.on_arrival(
            attempt(
                2,
                51_200,
                block_hashes=blocks,
                excluded=frozenset({ids.BackendServerId("other")}),
            ),
            START,
        )
        self.assertIn("cached 0 tokens", second.reason)

    def test_document_of_all_prompts_does_not_draw_them_to_one_engine(self):
        def streams(tokens, shared_blocks):
            service_scheduler = build_scheduler(engines=4)
            engines: collections.Counter[str] = collections.Counter()
            for ticket in range(40):
                first = 0 if shared_blocks else 100 * (ticket + 1)
                blocks = tuple(range(first, first + tokens // 512))
                (command,) = service_scheduler.on_arrival(
                    attempt(ticket, tokens, block_hashes=blocks), START
                )
                service_scheduler.on_first_token(attempts.Ticket(ticket), START)
                engines[command.engine] += 1
            return max(engines.values())

        # 40 streams on 4 engines: the bound is 1.25 times the mean of 10.
        self.assertLessEqual(streams(20_000, shared_blocks=True), 13)
        # The daemon's own order of engines gathers short prompts anyway.
        self.assertLessEqual(
            streams(5_130, shared_blocks=True),
            streams(5_130, shared_blocks=False),
        )

    def test_long_prompts_beyond_their_share_are_queued(self):
        service_scheduler = build_scheduler(engines=4)
        for ticket in (1, 2):
            (command,) = service_scheduler.on_arrival(
                attempt(ticket, 150_000), START
            )
            self.assertIsInstance(command, scheduler.Dispatch)
        (queued,) = service_scheduler.on_arrival(attempt(3, 150_000), START)
        self.assertIsInstance(queued, scheduler.Queue)
        (dispatched,) = service_scheduler.on_first_token(
            attempts.Ticket(1), START
        )
        self.assertEqual(dispatched.attempt.ticket, 3)

    def test_long_prompt_without_first_token_keeps_its_share(self):
        service_scheduler = build_scheduler(engines=4)
        for ticket in (1, 2):
            service_scheduler.on_arrival(attempt(ticket, 100_001), START)
        later = units.after(START, units.Seconds(20.0))
        for view in service_scheduler.fleet.views:
            service_scheduler.on_load_report(view.name, report(120.0), later)
        (queued,) = service_scheduler.on_arrival(attempt(3, 100_001), later)
        self.assertIsInstance(queued, scheduler.Queue)

    def test_preset_change_applies_to_queued_attempts(self):
        service_scheduler = build_scheduler(engines=4)
        for ticket in (1, 2, 3):
            service_scheduler.on_arrival(attempt(ticket, 200_000), START)
        wide = model.Preset(ids.PresetName("peak"), long_prefill_share=1.0)
        (dispatched,) = service_scheduler.on_configuration(
            service(4), wide, {}, START
        )
        self.assertIsInstance(dispatched, scheduler.Dispatch)
        self.assertEqual(dispatched.attempt.ticket, 3)

    def test_oversized_prompt_is_refused(self):
        reason = self.refusal(
            build_scheduler().on_arrival(attempt(1, 500_000), START)
        )
        self.assertIs(reason, states.FailureReason.BODY_TOO_LARGE)

    def test_unreachable_deadline_is_refused_at_once(self):
        late = attempt(1, 200_000, timeout=5.0)
        reason = self.refusal(build_scheduler().on_arrival(late, START))
        self.assertIs(reason, states.FailureReason.DEADLINE_UNREACHABLE)

    def test_queued_attempt_is_refused_at_its_deadline(self):
        service_scheduler = build_scheduler(engines=1)
        service_scheduler.on_arrival(attempt(1, 200_000), START)
        waiting = attempt(2, 200_000)
        service_scheduler.on_arrival(waiting, START)
        reason = self.refusal(service_scheduler.on_deadline(waiting, START))
        self.assertIs(reason, states.FailureReason.DEADLINE_EXCEEDED)
        self.assertEqual(service_scheduler.queued, 0)

    def test_long_prompts_are_shed_before_short_ones(self):
        service_scheduler = build_scheduler(
            engines=1,
            preset=model.Preset(ids.PresetName("small"), max_queue=4),
        )
        for ticket in range(1, 5):
            service_scheduler.on_arrival(
                attempt(ticket, 200_000, 3_600.0), START
            )
        reason = self.refusal(
            service_scheduler.on_arrival(attempt(9, 200_000, 3_600.0), START)
        )
        self.assertIs(reason, states.FailureReason.QUEUE_FULL)
        (command,) = service_scheduler.on_arrival(attempt(10, 2_000), START)
        self.assertIsInstance(command, scheduler.Dispatch)

    def refused_of_six(self, **rates):
        class HalfShare(limits.ShareSource):
            def fraction(self, organisation):
                return 0.5

        bounded = limits.OrganisationLimits(HalfShare())
        bounded.on_organisations(
            {ORGANISATION: model.Organisation(ORGANISATION, (), **rates)}
        )
        service_scheduler = build_scheduler(organisation_limits=bounded)
        outcomes = [
            service_scheduler.on_arrival(attempt(n, 2_000), START)[0]
            for n in range(6)
        ]
        return [c for c in outcomes if isinstance(c, scheduler.Refuse)]

    def test_request_limit_is_scaled_by_the_share(self):
        refused = self.refused_of_six(requests_per_second=2.0)
        self.assertEqual(len(refused), 1)
        self.assertAlmostEqual(refused[0].failure.retry_after, 1.0)

    def test_token_limit_is_scaled_by_the_share(self):
        refused = self.refused_of_six(tokens_per_second=4_200.0)
        self.assertEqual(len(refused), 1)
        self.assertAlmostEqual(refused[0].failure.retry_after, 1.0)

    def test_excluded_engine_is_not_used(self):
        service_scheduler = build_scheduler(engines=2)
        names = [view.name for view in service_scheduler.fleet.views]
        for ticket in range(10):
            (command,) = service_scheduler.on_arrival(
                attempt(ticket, 2_000, excluded=frozenset(names[:1])), START
            )
            self.assertEqual(command.engine, names[1])
        reason = self.refusal(
            service_scheduler.on_arrival(
                attempt(99, 2_000, excluded=frozenset(names)), START
            )
        )
        self.assertIs(reason, states.FailureReason.NO_BACKEND_SERVER)

    def test_exclusive_attempt_waits_for_an_idle_engine(self):
        service_scheduler = build_scheduler(engines=1)
        service_scheduler.on_arrival(attempt(1, 2_000), START)
        (queued,) = service_scheduler.on_arrival(
            attempt(2, 2_000, exclusive=True), START
        )
        self.assertIsInstance(queued, scheduler.Queue)
        (later,) = service_scheduler.on_arrival(attempt(3, 2_000), START)
        self.assertIsInstance(later, scheduler.Queue)
        (exclusive,) = service_scheduler.on_release(attempts.Ticket(1), START)
        self.assertEqual(exclusive.attempt.ticket, 2)
        (after,) = service_scheduler.on_release(attempts.Ticket(2), START)
        self.assertEqual(after.attempt.ticket, 3)


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Fails if an attempt is lost, dispatched twice or not exclusive."""

    def __init__(self):
        super().__init__()
        self.service_scheduler = build_scheduler(engines=3)
        self.now = START
        self.ticket = 0
        self.queued = {}
        self.running = {}

    def on_commands(self, commands):
        for command in commands:
            ticket = command.attempt.ticket
            if isinstance(command, scheduler.Queue):
                assert ticket in self.queued
                continue
            self.queued.pop(ticket)
            if isinstance(command, scheduler.Dispatch):
                assert command.engine not in command.attempt.excluded
                self.running[ticket] = command
        for dispatch in self.running.values():
            sharing = [
                c for c in self.running.values() if c.engine == dispatch.engine
            ]
            assert not dispatch.attempt.exclusive or len(sharing) == 1

    @stateful.rule(
        tokens=strategies.integers(1, 500_000),
        exclusive=strategies.booleans(),
        excluded=strategies.sets(strategies.integers(0, 2)),
    )
    def arrive(self, tokens, exclusive, excluded):
        self.ticket += 1
        names = frozenset(ids.BackendServerId(f"engine-{n}") for n in excluded)
        arrived = attempt(
            self.ticket, tokens, 9_999.0, exclusive=exclusive, excluded=names
        )
        self.queued[arrived.ticket] = arrived
        self.on_commands(self.service_scheduler.on_arrival(arrived, self.now))

    @stateful.rule(data=strategies.data(), end=strategies.booleans())
    def progress(self, data, end):
        if not self.running:
            return
        ticket = data.draw(strategies.sampled_from(sorted(self.running)))
        if end:
            del self.running[ticket]
            self.on_commands(
                self.service_scheduler.on_release(ticket, self.now)
            )
        else:
            self.on_commands(
                self.service_scheduler.on_first_token(ticket, self.now)
            )

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        if not self.queued:
            return
        ticket = data.draw(strategies.sampled_from(sorted(self.queued)))
        self.service_scheduler.on_cancel(self.queued.pop(ticket))

    @stateful.rule(engines=strategies.integers(1, 3))
    def configure(self, engines):
        self.on_commands(
            self.service_scheduler.on_configuration(
                service(engines), PRESET, {}, self.now
            )
        )

    @stateful.rule(seconds=strategies.floats(0.0, 5.0))
    def advance(self, seconds):
        self.now = units.after(self.now, units.Seconds(seconds))

    @stateful.invariant()
    def nothing_is_lost(self):
        assert self.service_scheduler.queued == len(self.queued)


SchedulerMachine.TestCase.settings = hypothesis.settings(
    max_examples=40, derandomize=True, deadline=None
)
SchedulerStatefulTest = SchedulerMachine.TestCase


if __name__ == "__main__":
    unittest.main()
