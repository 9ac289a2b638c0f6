"""Tests which availability zones count as evacuated."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.membership import zone_evacuations

NOW = units.Instant(100.0)
LAPSE = zone_evacuations.LOST_EVACUATION_LAPSE
ZONES = ("a", "b", "c")


def at(number, era=1):
    """Returns a revision of the store."""
    return store_revisions.of(era, number)


def evacuation(zone, number=1, era=1):
    """Returns the evacuation of a zone."""
    return zone_evacuations.ZoneEvacuation(zone, at(number, era))


def listed(*zones, number=10, era=1):
    """Returns the evacuations after a listing."""
    evacuations = zone_evacuations.ZoneEvacuations()
    evacuations.on_listing(
        [evacuation(zone, 1, era) for zone in zones], at(number, era), NOW
    )
    return evacuations


class ZoneEvacuationsTest(unittest.TestCase):
    """Guards against evacuations that are lost, or held for ever."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ZONES), strategies.booleans()
            ),
            max_size=12,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_late_answers_and_peers_change_nothing(self, changes, generator):
        """Answers of all ages arrive; the newest one decides."""
        state, history = set(), [set()]
        evacuations = listed(number=1)
        for number, (zone, written) in enumerate(changes, start=2):
            state = state | {zone} if written else state - {zone}
            history.append(state)
            evacuations.on_events(
                [evacuation(zone, number)] if written else [],
                [] if written else [zone],
                at(number),
                NOW,
            )
            old = generator.randrange(len(history))
            evacuations.on_listing(
                [evacuation(z) for z in history[old]], at(old + 1), NOW
            )
            self.assertEqual(evacuations.zones, state)
            self.assertEqual(evacuations.revision, at(number))

    def test_a_zone_that_is_evacuated_twice_is_taken_back_once(self):
        """Also if no server is in it."""
        evacuations = listed("a")
        later = units.Instant(NOW + 5.0)
        change = evacuations.on_events([evacuation("a", 11)], [], at(11), later)
        self.assertTrue(change.is_empty)
        self.assertEqual(evacuations.evacuated_since("a"), NOW)
        change = evacuations.on_events([], ["a", "b"], at(12), later)
        self.assertEqual(change.taken_back, ("a",))
        self.assertIsNone(evacuations.evacuated_since("a"))

    def test_nothing_is_known_before_a_listing(self):
        """Events alone do not tell which other zones are evacuated."""
        evacuations = zone_evacuations.ZoneEvacuations()
        evacuations.on_events([evacuation("a", 3)], [], at(3), NOW)
        self.assertFalse(evacuations.is_known)
        evacuations.on_listing([], at(0, era=1), NOW)
        self.assertTrue(evacuations.is_known)

    def test_an_evacuation_that_a_copy_lacks_is_kept_for_a_time(self):
        """The operator was told that it holds, and writes it again."""
        for number, written_again in ((5, True), (5, False), (90, False)):
            with self.subTest(number=number, written_again=written_again):
                evacuations = listed("a", "b")
                evacuations.on_listing(
                    [evacuation("b", 1, era=2)], at(number, era=2), NOW
                )
                self.assertEqual(evacuations.zones, {"a", "b"})
                if written_again:
                    evacuations.on_events(
                        [evacuation("a", 91, era=2)], [], at(91, era=2), NOW
                    )
                evacuations.on_listing(
                    evacuations.evacuations, at(92, era=2), NOW
                )
                evacuations.expire(units.Instant(NOW + LAPSE - 0.1))
                self.assertEqual(evacuations.zones, {"a", "b"})
                evacuations.expire(units.Instant(NOW + LAPSE))
                self.assertEqual(
                    evacuations.zones, {"a", "b"} if written_again else {"b"}
                )

    def test_a_kept_evacuation_can_be_taken_back(self):
        evacuations = listed("a")
        evacuations.on_listing([], at(5, era=2), NOW)
        evacuations.on_events([], ["a"], at(6, era=2), NOW)
        self.assertEqual(evacuations.zones, frozenset())

    def test_a_new_daemon_learns_of_a_kept_evacuation(self):
        """Daemons that tell each other do not keep it for ever."""
        first = listed("a")
        first.on_listing([], at(5, era=2), NOW)
        second = listed(number=4, era=2)
        second.on_listing(first.evacuations, first.last_change, NOW)
        self.assertEqual(second.zones, frozenset())
        new = zone_evacuations.ZoneEvacuations()
        new.on_listing(first.evacuations, first.last_change, NOW)
        self.assertEqual(new.zones, {"a"})
        later = units.Instant(NOW + LAPSE)
        first.expire(later)
        first.on_listing(new.evacuations, at(6, era=2), later)
        self.assertEqual(first.zones, frozenset())

    def test_changes_of_a_new_era_need_a_listing(self):
        evacuations = listed("a")
        evacuations.on_events([], ["a"], at(90, era=2), NOW)
        self.assertEqual(evacuations.zones, {"a"})


if __name__ == "__main__":
    unittest.main()
