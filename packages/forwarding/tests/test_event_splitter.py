"""Tests the splitting of a byte stream into server-sent events."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.forwarding import event_splitter

STREAM = b"".join(
    b"weight-versions: 2\nid: %d\ndata: piece\n\n" % n for n in range(1, 6)
)


class EventSplitterTest(unittest.TestCase):
    """Guards against truncated, lost or duplicated events."""

    @hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
    def test_chunk_boundaries_do_not_change_the_events(self, cuts):
        splitter = event_splitter.EventSplitter()
        bounds = [0, *sorted(cuts), len(STREAM)]
        events = [
            event
            for start, end in zip(bounds, bounds[1:], strict=False)
            for event in splitter.feed(STREAM[start:end])
        ]
        self.assertEqual(b"".join(e.raw for e in events), STREAM)
        self.assertEqual([e.event_id for e in events], [1, 2, 3, 4, 5])
        self.assertFalse(splitter.has_partial_event)

    def test_partial_event_is_buffered(self):
        splitter = event_splitter.EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata"), ())
        self.assertTrue(splitter.has_partial_event)

    def test_non_numeric_id_is_none(self):
        splitter = event_splitter.EventSplitter()
        (event,) = splitter.feed(b"id: x\ndata: 1\n\n")
        self.assertIsNone(event.event_id)


if __name__ == "__main__":
    unittest.main()
