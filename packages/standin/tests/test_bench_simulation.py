"""Guards the benchmark against irreproducible or incomplete runs."""

from __future__ import annotations

import unittest

from lavendershed.core import states
from lavendershed.core import units
from lavendershed.standin.bench import policies
from lavendershed.standin.bench import simulation
from lavendershed.standin.bench import workload

DURATION = units.Seconds(8.0)


def run(policy, **options):
    """Runs a short trace in the smaller deployment."""
    return simulation.run(workload.GUILD, policy, 0.5, DURATION, 3, **options)


class SimulationTest(unittest.TestCase):
    """Fails if a run is not reproducible or drops a request."""

    def test_same_seed_gives_the_same_records(self):
        policy = policies.Policy.PREDICTED_COST
        self.assertEqual(run(policy), run(policy))

    def test_every_request_completes_or_is_refused(self):
        for record in run(policies.Policy.ROUND_ROBIN).records:
            if record.prompt_class is states.PromptClass.OVERSIZED:
                reason = states.FailureReason.BODY_TOO_LARGE
                self.assertIs(record.refusal, reason)
            else:
                self.assertGreater(record.total_s, record.first_token_s)

    def test_short_only_run_keeps_the_arrivals_of_short_prompts(self):
        policy = policies.Policy.PREDICTED_COST
        mixed_records = {r.number: r for r in run(policy).records}
        short_only_records = run(policy, short_only=True).records
        self.assertTrue(short_only_records)
        for record in short_only_records:
            self.assertEqual(
                record.arrived_at, mixed_records[record.number].arrived_at
            )
            self.assertIs(record.prompt_class, states.PromptClass.SHORT)

    def test_trace_has_two_percent_long_prompts_and_the_requested_load(self):
        arrivals = workload.generate_trace(
            workload.ALMANAC, 0.7, units.Seconds(2_000.0), 1
        )
        lengths = [a.prompt_tokens for a in arrivals]
        long = sum(n > 100_000 for n in lengths) / len(lengths)
        self.assertAlmostEqual(long, 0.02, delta=0.002)
        served = sum(n for n in lengths if n <= workload.ENGINE.kv_tokens)
        capacity = (
            workload.ALMANAC.engines * workload.MIXED_PREFILL_RATE * 2_000.0
        )
        self.assertAlmostEqual(served / capacity, 0.7, delta=0.03)


if __name__ == "__main__":
    unittest.main()
