"""Tests the records of requests that end without a complete response."""

from __future__ import annotations

import collections
import unittest

from lavendershed.core import units
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import unanswered_requests
from lavendershed.transport import connection_ends

End = connection_ends.ConnectionEnd
ID_HEADER = "attempt-id"
LISTENER = "callers"


class RecorderTest(unittest.TestCase):
    """Fails if the end of a request can't be traced to it and its cause."""

    def record(self, end, headers, logs_callers_that_left):
        """Returns the fields of the log lines, and the counts."""
        event_log = log.MemoryEventLog()
        counts = collections.Counter()
        unanswered_requests.UnansweredRequestRecorder(
            LISTENER,
            event_log,
            lambda *labels: counts.update((labels,)),
            ID_HEADER,
            logs_callers_that_left=logs_callers_that_left,
        ).on_unanswered(
            connection_ends.UnansweredRequest(
                end,
                "10.0.0.1:4711",
                "/x",
                headers,
                None,
                units.Bytes(10),
                units.Seconds(0.5),
            )
        )
        self.assertEqual(
            {event for event, _ in event_log.records},
            {events.Event.REQUEST_UNANSWERED} if event_log.records else set(),
        )
        return [fields for _, fields in event_log.records], counts

    def test_each_end_is_counted_and_logged_with_its_request(self):
        for end in End:
            with self.subTest(end=end):
                lines, counts = self.record(end, ((ID_HEADER, "a1"),), True)
                self.assertEqual(counts, {(LISTENER, end.value): 1})
                (fields,) = lines
                self.assertEqual(fields["reason"], end.value)
                self.assertEqual(fields["request"], "a1")
                self.assertEqual(fields["peer"], "10.0.0.1:4711")

    def test_only_callers_that_left_may_be_logged_elsewhere(self):
        for end in End:
            with self.subTest(end=end):
                lines, counts = self.record(end, (), False)
                self.assertEqual(len(lines), int(end is not End.CALLER_LEFT))
                self.assertEqual(counts.total(), 1)


if __name__ == "__main__":
    unittest.main()
