"""Tests the loading of configuration files and its errors."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st
import tomli_w

from lavendershed.cli import configuration_file
from lavendershed.configuration import validation

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
VALID = """
active_preset = "ordinary"
[[organisations]]
name = "press"
tokens = ["secret"]
[[services]]
name = "drafting"
kind = "model_engine"
[[services.backend_servers]]
name = "engine-1"
address = "127.0.0.1:9001"
availability_zone = "zone-a"
[[presets]]
name = "ordinary"
[[presets.service_plans]]
service = "drafting"
roles = [{role = "prefill", share = 0.5}]
models = [{model = "advisor", adapters = ["nautical"]}]
"""
_NAMES = st.sampled_from(
    [
        "name",
        "kind",
        "address",
        "weight",
        "token_hashes",
        "tokens",
        "presets",
        "organisations",
        "services",
        "active_preset",
        "backend_servers",
        "service_plans",
        "roles",
        "share",
    ]
)
_VALUES = st.recursive(
    st.one_of(
        st.integers(-(2**63), 2**63 - 1),
        st.floats(),
        st.booleans(),
        st.datetimes(),
        st.text(max_size=5),
    ),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(_NAMES, children, max_size=4)
    ),
    max_leaves=15,
)


class ConfigurationFileTest(unittest.TestCase):
    """Fails if a file raises an exception or an invalid one is accepted."""

    def test_valid_file_survives_a_round_trip(self):
        first = configuration_file.load(VALID).unwrap()
        text = configuration_file.dump(first)
        self.assertEqual(configuration_file.load(text).unwrap(), first)
        self.assertNotIn("secret", text)

    def test_errors_name_their_field(self):
        for old, new, field in (
            ("= 0.5", "= '0.5'", "presets[ordinary].service_plans[0].roles"),
            ('name = "press"', 'name = "press"\nwieght = 2', "wieght"),
            (
                "127.0.0.1:9001",
                "host:9001",
                "servers[engine-1].address",
            ),
            ('"model_engine"', '"engine"', "services[drafting].kind"),
            ('preset = "ordinary"', 'preset = "peak"', "active_preset"),
            ('["secret"]', '"secret"', "organisations[press].tokens"),
            ("[[organisations]]", "[organisations]", "organisations"),
            ("= [{role", "= [[{role", "line"),
        ):
            with self.subTest(new):
                loaded = configuration_file.load(VALID.replace(old, new, 1))
                text = " ".join(map(str, loaded.unwrap_err()))
                self.assertIn(field, text)

    def test_duplicate_names_are_refused(self):
        loaded = configuration_file.load(
            VALID + '[[presets]]\nname = "ordinary"\n'
        )
        self.assertIn("presets[ordinary]", str(loaded.unwrap_err()[0]))

    @SETTINGS
    @hypothesis.given(st.dictionaries(_NAMES, _VALUES, max_size=5))
    def test_any_values_give_a_valid_configuration_or_problems(self, content):
        self.assert_valid_or_problems(tomli_w.dumps(content))

    @SETTINGS
    @hypothesis.given(st.text(max_size=200))
    def test_any_text_gives_a_valid_configuration_or_problems(self, text):
        self.assert_valid_or_problems(text)

    @SETTINGS
    @hypothesis.given(st.data())
    def test_corrupted_file_gives_a_valid_configuration_or_problems(self, data):
        start = data.draw(st.integers(0, len(VALID)))
        end = data.draw(st.integers(start, min(start + 30, len(VALID))))
        inserted = data.draw(st.text(max_size=10))
        self.assert_valid_or_problems(VALID[:start] + inserted + VALID[end:])

    def assert_valid_or_problems(self, text):
        loaded = configuration_file.load(text)
        if loaded.is_ok():
            self.assertEqual(validation.check(loaded.ok_value), ())
        else:
            self.assertTrue(loaded.unwrap_err())


if __name__ == "__main__":
    unittest.main()
