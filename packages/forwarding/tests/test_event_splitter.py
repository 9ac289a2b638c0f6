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

    def test_non_numeric_id_is_invalid(self):
        for event_id in (b"x", b"", b"\xb2", b"-1", b"1" * 5_000):
            splitter = event_splitter.EventSplitter()
            (event,) = splitter.feed(b"id: %s\ndata: 1\n\n" % event_id)
            self.assertIsNone(event.event_id)
            self.assertTrue(event.has_invalid_id)

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                (b"\n", b": c\n", b"id: 1\n", b"data\n", b"id:", b":", b"x")
            ),
            max_size=30,
        ),
        strategies.integers(1, 7),
    )
    def test_any_lines_are_kept_whatever_the_reads(self, lines, size):
        """Guards against bytes that are lost, repeated or taken for an id."""
        stream = b"".join(lines)
        splitter = event_splitter.EventSplitter()
        events = [
            event
            for start in range(0, len(stream), size)
            for event in splitter.feed(stream[start : start + size])
        ]
        complete = b"".join(event.raw for event in events)
        self.assertTrue(stream.startswith(complete))
        self.assertEqual(splitter.has_partial_event, complete != stream)
        self.assertNotIn(b"\n\n", stream[len(complete) :].lstrip(b"\n"))
        for event in events:
            text = event.raw.split(b"\n")
            self.assertEqual(
                event.is_comment,
                all(not line or line.startswith(b":") for line in text),
            )
            ids = [line for line in text if line.startswith(b"id:")]
            self.assertEqual(
                bool(ids), event.event_id == 1 or (event.has_invalid_id)
            )

    def test_floods_are_split_in_a_bounded_number_of_steps(self):
        """Guards against work that grows with the square of the bytes.

        The steps are counted by the events, each of which costs about as much.
        """
        for block in (b"\n", b":\n\n", b": x\n", b"a\n\n", b"x"):
            splitter = event_splitter.EventSplitter()
            chunk = block * (65_536 // len(block))
            with self.subTest(block=block):
                for _ in range(16):
                    self.assertLessEqual(len(splitter.feed(chunk)), 2)
                    if splitter.is_oversized:
                        break


if __name__ == "__main__":
    unittest.main()
