"""Tests for the quarantine of requests that crash engines."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import cluster
from lavendershed.core import deadlines
from lavendershed.core import ids
from lavendershed.core import requests
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.reliability import crash_suspects
from lavendershed.reliability import fingerprints

ENGINES = [ids.BackendServerId(f"engine-{i}") for i in range(3)]
CRASHER = ids.Fingerprint(666)
FINGERPRINTS = [CRASHER, *(ids.Fingerprint(i) for i in range(4))]
Verdict = crash_suspects.Verdict


class SuspectMachine(stateful.RuleBasedStateMachine):
    """Model of engines that one request crashes, with planned restarts.

    Suspects run exclusively, as the dispatcher guarantees. Only the request
    that crashes engines may be quarantined, and it must crash at most two.
    """

    def __init__(self):
        super().__init__()
        self.clock = timers.VirtualTimerService()
        self.suspects = crash_suspects.CrashSuspects(
            crash_suspects.SuspectLimits(suspect_lifetime=units.Seconds(1e9))
        )
        self.running = {engine: {} for engine in ENGINES}
        self.incarnations = dict.fromkeys(ENGINES, 1)
        self.crashes = 0
        self.attempt_count = 0

    def runs_exclusive(self, engine):
        return any(exclusive for _, exclusive in self.running[engine].values())

    @stateful.rule(
        fingerprint=strategies.sampled_from(FINGERPRINTS),
        engine=strategies.sampled_from(ENGINES),
        accepted=strategies.booleans(),
    )
    def start(self, fingerprint, engine, accepted):
        verdict = self.suspects.verdict(fingerprint, self.clock.now())
        in_flight = [f for r in self.running.values() for f, _ in r.values()]
        if verdict is Verdict.QUARANTINED or fingerprint in in_flight:
            return
        exclusive = verdict is Verdict.EXCLUSIVE
        if self.runs_exclusive(engine) or (exclusive and self.running[engine]):
            return
        self.attempt_count += 1
        attempt = ids.AttemptId(str(self.attempt_count))
        self.suspects.on_attempt_started(
            attempt, fingerprint, engine, exclusive
        )
        self.running[engine][attempt] = (fingerprint, exclusive)
        if accepted or fingerprint != CRASHER:
            self.suspects.on_accepted(
                attempt, ids.Incarnation(self.incarnations[engine])
            )

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES), data=strategies.data()
    )
    def crash(self, engine, data):
        if CRASHER not in [f for f, _ in self.running[engine].values()]:
            return
        self.crashes += 1
        self.report(engine, False, data)
        assert self.crashes <= 2, "the request crashed a third engine"

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES), data=strategies.data()
    )
    def planned_restart(self, engine, data):
        self.report(engine, True, data)

    def report(self, engine, planned, data):
        attempts = data.draw(
            strategies.permutations(list(self.running[engine]))
        )
        for attempt in attempts:
            for command in self.suspects.on_engine_crash(
                attempt, planned, self.clock.now()
            ):
                if isinstance(command, crash_suspects.PublishQuarantine):
                    assert command.record.fingerprint == CRASHER
        self.running[engine].clear()
        self.incarnations[engine] += 1

    @stateful.rule(
        engine=strategies.sampled_from(ENGINES), completes=strategies.booleans()
    )
    def end(self, engine, completes):
        for attempt, (fingerprint, _) in self.running[engine].items():
            if completes and fingerprint != CRASHER:
                self.suspects.on_completed(attempt)
                verdict = self.suspects.verdict(fingerprint, self.clock.now())
                assert verdict is Verdict.CLEAN
            else:
                self.suspects.on_attempt_ended(attempt)
        self.running[engine].clear()

    @stateful.invariant()
    def in_flight_matches(self):
        count = sum(len(r) for r in self.running.values())
        assert self.suspects.in_flight == count


class SuspectMachineTest(SuspectMachine.TestCase):
    """Fails if a request crashes a third engine or another one is refused."""

    settings = hypothesis.settings(
        max_examples=200,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
    )


class CrashSuspectsTest(unittest.TestCase):
    """Fails if suspects are identified wrongly or never expire."""

    def setUp(self):
        self.suspects = crash_suspects.CrashSuspects(
            crash_suspects.SuspectLimits(max_suspects=3)
        )
        self.now = units.Instant(0.0)

    def crash(self, numbers, exclusive=False, attempt_prefix="a"):
        attempts = []
        for number in numbers:
            attempts.append(ids.AttemptId(f"{attempt_prefix}{number}"))
            self.suspects.on_attempt_started(
                attempts[-1], ids.Fingerprint(number), ENGINES[0], exclusive
            )
            self.suspects.on_accepted(attempts[-1], ids.Incarnation(1))
        return self.suspects.on_engine_crash(attempts[0], False, self.now)

    def verdict(self, number):
        return self.suspects.verdict(ids.Fingerprint(number), self.now)

    def test_crash_after_a_suspect_record_of_a_peer_quarantines(self):
        (published,) = self.crash([1])
        self.assertIsInstance(published, crash_suspects.PublishSuspect)
        self.suspects = crash_suspects.CrashSuspects(
            crash_suspects.SuspectLimits()
        )
        self.suspects.on_suspect_record(published.record, self.now)
        self.assertIs(self.verdict(1), Verdict.EXCLUSIVE)
        self.crash([1], exclusive=True)
        self.assertIs(self.verdict(1), Verdict.QUARANTINED)

    def test_two_suspects_in_one_crash_are_not_quarantined(self):
        self.crash([1, 2])
        commands = self.crash([1, 2, 3], attempt_prefix="b")
        self.assertEqual(
            [(type(c), c.record.fingerprint) for c in commands],
            [(crash_suspects.PublishSuspect, n) for n in (1, 2, 3)],
        )
        self.assertIs(self.verdict(1), Verdict.EXCLUSIVE)

    def test_completed_suspect_is_cleared(self):
        self.crash([1, 2])
        attempt = ids.AttemptId("b")
        self.suspects.on_attempt_started(
            attempt, ids.Fingerprint(2), ENGINES[1], True
        )
        self.suspects.on_completed(attempt)
        self.assertIs(self.verdict(2), Verdict.CLEAN)
        self.assertIs(self.verdict(1), Verdict.EXCLUSIVE)

    def test_second_crash_publishes_a_record_with_a_lifetime(self):
        self.crash([1, 2])
        (command,) = self.crash([1], exclusive=True, attempt_prefix="b")
        self.assertGreater(command.record.lifetime, 0)
        self.assertIs(self.verdict(1), Verdict.QUARANTINED)
        self.now = units.Instant(command.record.lifetime)
        self.assertIs(self.verdict(1), Verdict.CLEAN)

    def test_suspects_expire_and_their_number_is_bounded(self):
        self.crash(range(5))
        suspected = sum(self.verdict(n) is Verdict.EXCLUSIVE for n in range(5))
        self.assertEqual(suspected, 3)
        self.now = units.Instant(1_000.0)
        self.assertTrue(all(self.verdict(n) is Verdict.CLEAN for n in range(5)))

    def test_quarantine_record_of_a_peer_refuses_the_request(self):
        record = cluster.QuarantineRecord(
            ids.Fingerprint(1), units.Seconds(9.0)
        )
        self.suspects.on_quarantine_record(record, self.now)
        self.assertIs(self.verdict(1), Verdict.QUARANTINED)

    def test_fingerprint_ignores_limits_but_not_the_organisation(self):
        def fingerprint(organisation, prompt, max_tokens):
            request = requests.GenerateRequest(
                ids.RequestId(""),
                ids.OrganisationId(organisation),
                ids.ServiceId("drafting"),
                prompt,
                units.Tokens(1),
                units.Tokens(max_tokens),
                deadlines.Deadline(self.now),
            )
            return fingerprints.fingerprint_of(request)

        first = fingerprint("a", "prompt", 1)
        self.assertEqual(first, fingerprint("a", " prompt\n", 2))
        self.assertNotEqual(first, fingerprint("b", "prompt", 1))
        self.assertNotEqual(first, fingerprint("a", "prompts", 1))


if __name__ == "__main__":
    unittest.main()
