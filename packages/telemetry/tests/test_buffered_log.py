"""Tests that the log neither blocks nor uses unbounded memory."""

from __future__ import annotations

import os
import unittest

import orjson

from lavendershed.telemetry import buffered_log
from lavendershed.telemetry import events

EVENT = events.Event.REQUEST_FINISHED


class BufferedEventLogTest(unittest.TestCase):
    """Fails if a slow reader blocks the process or lines are lost uncounted."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.log = buffered_log.BufferedEventLog(writer)
        self.addCleanup(self.log.close)

    def lines(self):
        data = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return [orjson.loads(line) for line in data.splitlines()]
            data += part

    def test_line_contains_event_number_and_fields(self):
        self.log.emit(EVENT, request="r", seconds=0.5)
        self.log.flush()
        (line,) = self.lines()
        self.assertEqual(line["event"], int(EVENT))
        self.assertEqual(line["request"], "r")

    def test_stalled_reader_does_not_block_the_writer(self):
        for _ in range(20_000):
            self.log.emit(EVENT, request="r" * 100)
            self.log.flush()
        self.assertGreater(self.log.dropped_lines, 0)

    def test_dropped_lines_are_reported_after_a_flush(self):
        for _ in range(20_000):
            self.log.emit(EVENT, request="r" * 100)
        dropped = self.log.dropped_lines
        self.assertGreater(dropped, 0)
        found = []
        for _ in range(200):
            self.log.flush()
            found += self.lines()
        reports = [line for line in found if line["event"] == 808]
        self.assertEqual(sum(line["lines"] for line in reports), dropped)
        self.assertEqual(len(found) - len(reports) + dropped, 20_000)


if __name__ == "__main__":
    unittest.main()
