"""Accounts for each request on open connections, beside changes and stops.

`make soak-connections` runs a range of seeds. `SEEDS` lists seeds that failed
before, each with the cause.
"""

from __future__ import annotations

import unittest

from lavendershed.standin import connection_soak
from lavendershed.standin import soak_deployment

SEEDS = (
    1,
    # A request over the size limit that arrived before the first configuration
    # was executed.
    31,
)
OPTIONS = soak_deployment.SoakOptions(plain_servers=4, duration_s=6.0)


class ConnectionSoakTest(unittest.IsolatedAsyncioTestCase):
    """Fails if a whole request gets neither an answer nor a refusal."""

    async def test_each_request_is_answered_or_refused(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = connection_soak.ConnectionSoak(seed, OPTIONS)
                self.assertEqual(await soak.run(), [], soak.log_directory)
                self.assertGreater(soak.outcomes["whole answer"], 0)


if __name__ == "__main__":
    unittest.main()
