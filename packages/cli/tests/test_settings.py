"""Compares docs/settings.md and the flags with the settings class."""

from __future__ import annotations

import pathlib
import re
import unittest

import pydantic

from lavendershed.cli import settings
from lavendershed.cli.commands import router

ROOT = pathlib.Path(__file__).resolve().parents[3]
ROW_PATTERN = re.compile(
    r"^\| `([a-z-]+)` \| `([A-Z_]+)` \| ([^|]+) \|", re.MULTILINE
)
REQUIRED = {
    "vm": "vm-1",
    "availability_zone": "zone-a",
    "listen": "127.0.0.1:8080",
    "store": "127.0.0.1:9000",
}


class SettingsTest(unittest.TestCase):
    """Fails if a setting is undocumented or an invalid value is accepted."""

    def test_page_lists_each_setting_with_its_default(self):
        text = (ROOT / "docs" / "settings.md").read_text()
        documented = {
            flag: (env, value) for flag, env, value in ROW_PATTERN.findall(text)
        }
        expected = {}
        for name, field in settings.RouterSettings.model_fields.items():
            value = getattr(field.default, "value", field.default)
            default = f"`{value}`" if value else "none"
            if field.is_required():
                default = "required"
            flag = name.replace("_", "-")
            expected[flag] = (f"LAVENDERSHED_{name.upper()}", default)
        self.assertEqual(documented, expected)

    def test_each_setting_has_a_flag(self):
        flags = {parameter.name for parameter in router.router.params}
        self.assertEqual(flags, set(settings.RouterSettings.model_fields))

    def test_bad_values_name_the_setting(self):
        for name, value in (
            ("listen", "example.org:80"),
            ("store", "127.0.0.1"),
            ("idle_timeout_seconds", 0),
            ("poll_interval_seconds", "often"),
            ("engine_poll_interval_seconds", -1),
            ("store_calls_per_second", 0),
            ("settle_time_seconds", "nan"),
        ):
            with (
                self.subTest(name),
                self.assertRaises(pydantic.ValidationError) as raised,
            ):
                settings.RouterSettings.from_flags(REQUIRED | {name: value})
            self.assertEqual(raised.exception.errors()[0]["loc"], (name,))


if __name__ == "__main__":
    unittest.main()
