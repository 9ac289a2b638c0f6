"""Tests the age of a daemon's copy of shared state."""

from __future__ import annotations

import unittest

from lavendershed.core import units
from lavendershed.membership import freshness


class FreshnessTest(unittest.TestCase):
    """Guards against an age that hides how old the known state is."""

    def test_the_age_is_unknown_before_the_first_confirmation(self):
        self.assertIsNone(freshness.Freshness().age(units.Instant(5.0)))

    def test_a_late_confirmation_does_not_make_the_state_older(self):
        """Responses and reports can arrive out of order."""
        known = freshness.Freshness()
        known.confirm(units.Instant(4.0))
        known.confirm(units.Instant(2.0))
        self.assertEqual(known.age(units.Instant(5.0)), 1.0)


if __name__ == "__main__":
    unittest.main()
