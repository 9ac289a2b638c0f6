"""Tests which parts of prompts are held responsible for crashes of engines."""

from __future__ import annotations

import itertools
import unittest

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.reliability import crash_attribution

FIRST, OTHER_FIRST, DEADLY, SECOND_DEADLY, SUBJECT = map(
    ids.CrashSuspectId, range(1, 6)
)
SECOND = units.Seconds(1.0)


def parts(*members):
    """Returns a set of parts."""
    return frozenset(members)


class Fleet:
    """Daemons that tell each other their evidence at once."""

    def __init__(self, count=2):
        self.now = units.Instant(100.0)
        self.engines = itertools.count()
        self.decisions = []
        self.daemons = []
        for _ in range(count):
            self.start_daemon()

    def start_daemon(self):
        daemon = crash_attribution.CrashAttribution()
        daemon.subscribe(self._on_news)
        self.daemons.append(daemon)
        return daemon

    def _on_news(self, decision):
        if decision is not None:
            self.decisions.append(decision)

    def wait(self, seconds):
        self.now = units.after(self.now, units.Seconds(seconds))

    def crash(self, *requests, daemon=0, engine=None):
        """An engine ends that had not begun the answers of `requests`."""
        number = next(self.engines) if engine is None else engine
        for request in requests:
            self.daemons[daemon].on_crash(
                number, parts(*request), self.now, self.now
            )
        self.exchange()

    def answer(self, *request, daemon=1):
        self.daemons[daemon].on_answer_begun(parts(*request), self.now)
        self.exchange()

    def exchange(self):
        for sender, receiver in itertools.permutations(self.daemons, 2):
            receiver.on_peer_evidence(sender.evidence(self.now), self.now)

    def crash_repeatedly(self, *request, count=3, sound=(OTHER_FIRST,)):
        """Crashes engines, while answers of sound requests begin."""
        for _ in range(count):
            self.crash(request)
            self.wait(0.2)
            for daemon in range(len(self.daemons)):
                self.answer(*sound, daemon=daemon)
                self.answer(*sound, daemon=daemon)

    def refused(self, *request, daemon=0):
        remaining = self.daemons[daemon].quarantine_remaining(
            parts(*request), self.now
        )
        return remaining is not None


class CrashAttributionTest(unittest.TestCase):
    """Guards against crashes without end and against refused sound requests."""

    def setUp(self):
        self.fleet = Fleet()

    def assert_refused(self, *request):
        for daemon in range(len(self.fleet.daemons)):
            self.assertTrue(self.fleet.refused(*request, daemon=daemon))

    def assert_served(self, *request):
        for daemon in range(len(self.fleet.daemons)):
            self.assertFalse(self.fleet.refused(*request, daemon=daemon))

    def test_a_part_is_refused_after_three_crashes_on_all_daemons(self):
        self.fleet.crash_repeatedly(DEADLY, count=2)
        self.assert_served(DEADLY)
        self.fleet.crash_repeatedly(DEADLY, count=1)
        self.assert_refused(DEADLY)
        self.assert_refused(OTHER_FIRST, DEADLY)
        self.assert_served(OTHER_FIRST)

    def test_requests_with_different_other_parts_count_together(self):
        for first in (FIRST, OTHER_FIRST, SUBJECT):
            self.fleet.crash_repeatedly(first, DEADLY, count=1, sound=(99,))
        self.assert_refused(DEADLY)
        for first in (FIRST, OTHER_FIRST, SUBJECT):
            self.assert_served(first)

    def test_a_part_that_sound_requests_share_is_not_refused(self):
        """The first part is in each crash, and in sound requests, too."""
        self.fleet.crash_repeatedly(FIRST, DEADLY, sound=(FIRST,))
        self.assert_refused(FIRST, DEADLY)
        self.assert_refused(DEADLY)
        self.assert_served(FIRST)

    def test_parts_that_cannot_be_told_apart_are_refused_together(self):
        """No answer on the first part begins before the third crash."""
        self.fleet.crash_repeatedly(FIRST, DEADLY)
        self.assert_refused(FIRST, DEADLY)
        self.assert_served(FIRST)
        self.assert_served(DEADLY)
        self.fleet.answer(FIRST)
        self.assert_refused(DEADLY)
        self.assert_served(FIRST)

    def test_a_crash_without_one_of_them_clears_it(self):
        self.fleet.crash_repeatedly(SUBJECT, DEADLY)
        self.fleet.crash_repeatedly(FIRST, DEADLY, count=1)
        self.assert_refused(DEADLY)
        self.assert_served(SUBJECT)

    def test_two_deadly_parts_at_once_are_both_found(self):
        for _ in range(3):
            self.fleet.crash_repeatedly(FIRST, DEADLY, count=1, sound=(FIRST,))
            self.fleet.crash_repeatedly(
                FIRST, SECOND_DEADLY, count=1, sound=(FIRST,)
            )
        self.assert_refused(DEADLY)
        self.assert_refused(SECOND_DEADLY)
        self.assert_served(FIRST)

    def test_a_bystander_of_explained_crashes_is_not_refused(self):
        """A rare part waits at engines that a known part crashes."""
        self.fleet.crash_repeatedly(FIRST, DEADLY, sound=(FIRST,))
        for _ in range(4):
            self.fleet.crash((FIRST, DEADLY), (FIRST, SUBJECT))
            self.fleet.wait(0.5)
            self.fleet.answer(FIRST)
        self.assert_refused(DEADLY)
        self.assert_served(SUBJECT)

    def test_engines_that_end_together_accuse_no_part(self):
        """A VM fails, and a document that is in demand waits at its engines."""
        for _ in range(8):
            self.fleet.crash((FIRST, SUBJECT))
        self.fleet.wait(1.0)
        for _ in range(9):
            self.fleet.answer(OTHER_FIRST, daemon=0)
        self.fleet.crash((FIRST, SUBJECT))
        self.assert_served(FIRST, SUBJECT)

    def test_no_part_is_refused_while_all_engines_crash(self):
        """No answer begins at all, so that the engines are at fault."""
        for _ in range(20):
            self.fleet.crash((FIRST, SUBJECT))
            self.fleet.wait(0.5)
        self.assert_served(FIRST, SUBJECT)

    def test_a_crash_that_several_daemons_see_counts_once(self):
        for daemon in (0, 1, 0, 1):
            self.fleet.crash((DEADLY,), daemon=daemon, engine=7)
            self.fleet.wait(0.2)
            self.fleet.answer(FIRST)
        self.assert_served(DEADLY)

    def test_a_repeated_report_is_not_another_crash(self):
        """Guards against reports that an aggregator sends again later.

        The age that they state is that of the first time.
        """
        self.fleet.crash((DEADLY,))
        old = self.fleet.daemons[0].evidence(self.fleet.now)
        for _ in range(5):
            self.fleet.wait(1.5)
            self.fleet.answer(FIRST, daemon=0)
            self.fleet.answer(FIRST, daemon=1)
            self.fleet.daemons[1].on_peer_evidence(old, self.fleet.now)
            self.fleet.exchange()
        self.assert_served(DEADLY)

    def test_an_answer_that_was_under_way_clears_a_part(self):
        self.fleet.crash_repeatedly(SUBJECT)
        self.assert_refused(SUBJECT)
        self.fleet.wait(0.1)
        self.fleet.answer(SUBJECT)
        self.assert_served(SUBJECT)
        self.fleet.exchange()
        self.assert_served(SUBJECT)

    def test_a_quarantine_ends_and_returns_after_one_crash(self):
        """Guards against a quarantine for good, and against three crashes."""
        self.fleet.crash_repeatedly(DEADLY)
        self.fleet.wait(crash_attribution.QUARANTINE_TIME)
        self.fleet.exchange()
        self.assert_served(DEADLY)
        self.fleet.crash((DEADLY,))
        self.assert_refused(DEADLY)
        self.fleet.wait(crash_attribution.QUARANTINE_TIME + SECOND)
        self.assert_refused(DEADLY)

    def test_daemons_do_not_prolong_a_quarantine_for_each_other(self):
        """Their quarantines end at slightly different times."""
        self.fleet.crash_repeatedly(DEADLY, count=3)
        first, second = self.fleet.daemons
        ends_in = first.quarantine_remaining(parts(DEADLY), self.fleet.now)
        self.fleet.wait(ends_in - 0.3)
        late_report = second.evidence(self.fleet.now)
        self.fleet.wait(0.4)
        first.on_peer_evidence(late_report, self.fleet.now)
        self.assertFalse(self.fleet.refused(DEADLY, daemon=0))
        self.fleet.crash((DEADLY,))
        remaining = first.quarantine_remaining(parts(DEADLY), self.fleet.now)
        self.assertAlmostEqual(
            remaining, 2 * crash_attribution.QUARANTINE_TIME, delta=1.0
        )

    def test_a_part_that_has_become_sound_is_forgotten(self):
        self.fleet.crash_repeatedly(DEADLY)
        self.fleet.wait(crash_attribution.QUARANTINE_TIME)
        self.fleet.exchange()
        self.fleet.answer(DEADLY)
        self.fleet.wait(1.0)
        self.fleet.crash((DEADLY,))
        self.assert_served(DEADLY)

    def test_evidence_outlives_the_daemon_that_found_it(self):
        """Two of three crashes were seen by a daemon that is killed."""
        self.fleet.crash_repeatedly(DEADLY, count=2)
        self.fleet.daemons.pop(0)
        self.fleet.start_daemon()
        self.fleet.crash_repeatedly(DEADLY, count=1)
        self.assert_refused(DEADLY)

    def test_a_daemon_that_starts_learns_of_a_quarantine(self):
        self.fleet.crash_repeatedly(FIRST, DEADLY, sound=(FIRST,))
        self.fleet.wait(30.0)
        self.fleet.start_daemon()
        self.fleet.exchange()
        self.assert_refused(DEADLY)
        self.assert_served(FIRST)

    def test_a_decision_states_its_grounds(self):
        self.fleet.crash_repeatedly(DEADLY)
        decision = self.fleet.decisions[0]
        self.assertIs(decision.verdict, crash_attribution.Verdict.QUARANTINED)
        self.assertEqual(decision.parts, parts(DEADLY))
        self.assertEqual(decision.crashes, 3)
        self.assertGreater(decision.answers, 0)
        self.assertAlmostEqual(decision.seconds, 0.4, delta=0.25)

    def test_many_suspects_end_in_a_bounded_number_of_quarantines(self):
        """Guards against a decision that never ends."""
        daemon = self.fleet.daemons[0]
        for _ in range(4):
            for number in range(30):
                request = parts(*range(number * 8, number * 8 + 8))
                daemon.on_crash(
                    next(self.fleet.engines),
                    request,
                    self.fleet.now,
                    self.fleet.now,
                )
            self.fleet.wait(0.2)
            for part in range(-200, 0):
                daemon.on_answer_begun(parts(part), self.fleet.now)
            # One part of each set appears in a crash of its own.
            for number in range(30):
                for member in range(8):
                    daemon.on_crash(
                        next(self.fleet.engines),
                        parts(number * 8 + member),
                        self.fleet.now,
                        self.fleet.now,
                    )
            self.fleet.wait(0.2)
        self.assertLessEqual(daemon.quarantine_count(self.fleet.now), 64)

    def test_memory_is_bounded(self):
        """Each prompt has parts of its own, and all engines crash."""
        daemon = self.fleet.daemons[0]
        for number in range(1_000):
            request = parts(*range(number * 50, number * 50 + 50))
            daemon.on_crash(number, request, self.fleet.now, self.fleet.now)
            daemon.on_answer_begun(parts(-number), self.fleet.now)
            self.fleet.wait(0.01)
        evidence = daemon.evidence(self.fleet.now)
        self.assertLessEqual(len(evidence.crashes), 128)
        self.assertLessEqual(max(len(c.suspects) for c in evidence.crashes), 32)


if __name__ == "__main__":
    unittest.main()
