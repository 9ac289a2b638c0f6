"""Guards the decoding of streams against malformed input."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies
import orjson
import result

from lavendershed.backend import event_stream
from lavendershed.core import backend_servers

# No deadline per example, since it would fail on a busy machine.
SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None
)


def encoded(kind, content):
    """Returns one server-sent event."""
    return b"event: %s\ndata: %s\n\n" % (kind.encode(), orjson.dumps(content))


def stream(texts):
    """Returns a complete stream with one token per text."""
    return b"".join(
        [
            encoded("accepted", {"attempt_id": "a", "incarnation": 1}),
            *(
                encoded("token", {"offset": i, "text": text})
                for i, text in enumerate(texts)
            ),
            encoded("end", {"token_count": len(texts), "reason": "stop"}),
        ]
    )


def decode(pieces):
    """Returns all events, or None after an error."""
    decoder = event_stream.EventDecoder()
    events = []
    for piece in pieces:
        decoded = decoder.feed(piece)
        if isinstance(decoded, result.Err):
            return None
        events += decoded.ok_value
    return events


class EventDecoderTest(unittest.TestCase):
    """Fails if an engine's bytes raise or are split incorrectly."""

    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.text(max_size=5), max_size=8),
        strategies.lists(strategies.integers(0, 600), max_size=6),
    )
    def test_tokens_do_not_depend_on_how_the_data_is_split(self, texts, cuts):
        data = stream(texts)
        points = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        events = decode(
            data[a:b] for a, b in zip(points, points[1:], strict=False)
        )
        batches = [
            e for e in events if isinstance(e, backend_servers.TokenBatch)
        ]
        tokens = [token for batch in batches for token in batch.events]
        self.assertEqual(
            event_stream.decode_token_text(tuple(tokens)), "".join(texts)
        )
        self.assertTrue(all(batch.attempt_id == "a" for batch in batches))
        self.assertEqual(events[-1].token_count, len(texts))

    @SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=80), strategies.integers(0, 200)
    )
    def test_corrupted_bytes_never_raise(self, noise, position):
        data = stream(["x", "y", "z"])
        decode([data[:position] + noise + data[position:]])
        decode([data[:position] + data[position + len(noise) :]])
        decode([b"event: token\ndata: " + noise + b"\n\n"])

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(("accepted", "token", "end")),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-5, 5)
            | strategies.floats(allow_nan=False)
            | strategies.text(max_size=3),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        (
                            "offset",
                            "text",
                            "attempt_id",
                            "incarnation",
                            "reason",
                        )
                    ),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=6,
        ),
    )
    def test_members_of_any_type_never_raise(self, kind, content):
        events = decode([encoded(kind, content)])
        for event in events or ():
            if isinstance(event, backend_servers.TokenBatch):
                event_stream.decode_token_text(event.events)

    def test_gap_inside_a_batch_is_an_error(self):
        tokens = [
            encoded("token", {"offset": offset, "text": "x"})
            for offset in (0, 2, 1, 3)
        ]
        self.assertIsNone(decode([b"".join(tokens)]))

    def test_oversized_event_is_an_error(self):
        self.assertIsNone(decode([b"event: token\ndata: " + b"x" * 2_000_000]))


if __name__ == "__main__":
    unittest.main()
