"""Tests the attribution of crashes by a fleet of daemons, by simulation."""

from __future__ import annotations

import unittest

import crash_fleet_simulation

SEEDS = range(1, 13)
# Time in which all daemons have to act on the fifth crash, and requests with
# the part that may still reach engines after it.
STABLE_WINDOW_S = 3.0
MAX_LATER_REQUESTS = 3
SECONDS = 30.0


class CrashAttributionFleetTest(unittest.TestCase):
    """Guards against crashes without end and against refused sound requests.

    Nine daemons send requests with ten first parts and two hundred subjects to
    21 engines. Reports take up to 0.2 s.
    """

    def assert_contained(self, simulation, deadly_parts=1):
        crashes = simulation.crash_times
        after = crashes[min(len(crashes), 5 * deadly_parts) - 1]
        self.assertLessEqual(
            simulation.deadly_sent_after(after + STABLE_WINDOW_S),
            MAX_LATER_REQUESTS * deadly_parts,
        )
        self.assertGreater(simulation.sound_answered, 400)

    def test_a_deadly_part_is_contained_and_no_sound_request_refused(self):
        for seed in SEEDS:
            for rate in (0.3, 1.0, 5.0):
                with self.subTest(seed=seed, rate=rate):
                    simulation = crash_fleet_simulation.Simulation(seed)
                    simulation.run(SECONDS, deadly_rate=rate)
                    self.assert_contained(simulation)
                    self.assertEqual(simulation.sound_refused, 0)

    def test_two_deadly_parts_are_contained(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = crash_fleet_simulation.Simulation(
                    seed, deadly_parts=2
                )
                simulation.run(SECONDS)
                self.assert_contained(simulation, deadly_parts=2)
                self.assertEqual(simulation.sound_refused, 0)

    def test_engines_that_crash_for_other_reasons_accuse_no_part(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = crash_fleet_simulation.Simulation(
                    seed, random_crashes=2.0
                )
                simulation.run(SECONDS, deadly_rate=1e-6)
                self.assertEqual(simulation.sound_refused, 0)

    def test_daemons_that_restart_do_not_forget(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = crash_fleet_simulation.Simulation(seed)
                for second in range(1, 10):
                    simulation.after(
                        second,
                        lambda second=second, s=simulation: s.start_daemon(
                            second - 1
                        ),
                    )
                simulation.run(SECONDS)
                self.assert_contained(simulation)
                self.assertEqual(simulation.sound_refused, 0)


if __name__ == "__main__":
    unittest.main()
