"""Tests differences, which decide whether concurrent changes conflict."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st
import sample

from lavendershed.configuration import comparison
from lavendershed.configuration import model
from lavendershed.core import ids

_organisations = st.dictionaries(
    st.integers(0, 5), st.integers(1, 3), max_size=4
).map(
    lambda entries: {
        f"org-{index}": sample.organisation(index, weight=weight)
        for index, weight in entries.items()
    }
)
_configurations = st.builds(
    model.Configuration,
    st.just(ids.Epoch(1)),
    st.sampled_from([sample.ORDINARY, sample.PEAK]),
    _organisations,
    st.just({}) | st.just({"drafting": sample.service()}),
    st.just({}) | st.just({"peak": model.Preset(sample.PEAK)}),
)


class ComparisonTest(unittest.TestCase):
    """Fails if a difference is lost or reveals a token hash."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(_configurations, _configurations)
    def test_patching_with_the_differences_gives_the_other(self, old, new):
        differences = comparison.compare(old, new)
        self.assertEqual(comparison.patch(old, differences), new)
        self.assertEqual(comparison.compare(old, old), ())

    def test_difference_shows_only_token_counts(self):
        token_hash = sample.organisation(1).token_hashes[0]
        entity = sample.organisation(1)
        changed = model.Organisation(entity.name, ())
        base = sample.configuration(0)
        old = model.Configuration(
            base.epoch, base.active_preset, {"org-1": entity}, {}, {}
        )
        new = model.Configuration(
            base.epoch, base.active_preset, {"org-1": changed}, {}, {}
        )
        (difference,) = comparison.compare(old, new)
        self.assertIn("1 tokens -> 0 tokens", str(difference))
        self.assertNotIn(token_hash, str(difference))


if __name__ == "__main__":
    unittest.main()
