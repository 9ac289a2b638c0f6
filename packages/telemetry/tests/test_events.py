"""Tests that the event catalogue matches the code."""

from __future__ import annotations

import pathlib
import re
import unittest

from lavendershed.telemetry import events

CATALOGUE = pathlib.Path(__file__).resolve().parents[3] / "docs/events.md"
ROW = re.compile(r"^\| (\d{3}) \| (\w+) \| .+ \|$", re.MULTILINE)


class EventCatalogueTest(unittest.TestCase):
    """Fails if an event is added, renamed or renumbered on one side only."""

    def test_catalogue_lists_exactly_the_events_of_the_code(self):
        listed = {
            (int(number), name)
            for number, name in ROW.findall(CATALOGUE.read_text())
        }
        defined = {(event.value, event.name) for event in events.Event}
        self.assertEqual(listed, defined)
