"""Tests that merged chunks mean the same to the parser."""

from __future__ import annotations

import unittest

import h11
import hypothesis
from hypothesis import strategies

from lavendershed.transport import chunk_merging

HEAD = b"POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"

sizes = strategies.one_of(
    strategies.integers(1, 3), strategies.integers(1, 300)
)
sound_chunks = strategies.builds(
    lambda size, form: form % size + b"\r\n" + b"y" * size + b"\r\n",
    sizes,
    strategies.sampled_from((b"%x", b"%X", b"%04x", b"%06x")),
)
odd_parts = strategies.sampled_from(
    (
        b"1;name=value\r\nz\r\n",
        b"1 \r\nz\r\n",
        b"2\r\nzz\n\r",
        b"1\r\nz\n",
        b"\r\n",
        b"g\r\n",
        b"3\r\nz\r\n",
        b"0\r\n",
        b"0\r\n\r\n",
        b"0000\r\nname: value\r\n\r\n",
        b"5\r\n1\r\n\r\n\r\n",
        b"fffff\r\nz",
        b"",
    )
)
bodies = strategies.lists(
    strategies.one_of(sound_chunks, sound_chunks, odd_parts), max_size=12
).map(b"".join)


def parse(pieces, merge):
    """Returns the body, whether it ended, what is left, and the error."""
    connection = h11.Connection(h11.SERVER)
    merger = None
    body = b""
    for piece in pieces:
        if merge and merger is not None:
            merged = merger.merge(piece)
            # Nothing is held back, and nothing is made longer.
            assert merged
            assert len(merged) <= len(piece)
            piece = merged
        connection.receive_data(piece)
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                return body, False, b"", str(error)[:20]
            if event is h11.NEED_DATA:
                break
            if event is h11.PAUSED:
                # What follows belongs to the next request.
                break
            if isinstance(event, h11.Request):
                merger = chunk_merging.ChunkMerger()
                rest = connection.trailing_data[0]
                if rest:
                    merger.merge(rest)
            elif isinstance(event, h11.Data):
                body += event.data
    ended = connection.their_state is h11.DONE
    return body, ended, connection.trailing_data[0] if ended else b"", None


class ChunkMergerTest(unittest.TestCase):
    """Guards against bodies that are changed on their way to the server."""

    @hypothesis.given(bodies, strategies.lists(strategies.integers(0, 400)))
    @hypothesis.settings(max_examples=600)
    def test_merged_chunks_mean_the_same(self, body, cuts):
        data = HEAD + body + b"0\r\n\r\nGET /next HTTP/1.1\r\n"
        ends = sorted({min(cut, len(data)) for cut in cuts} | {len(data)})
        pieces = [
            data[start:end]
            for start, end in zip([0, *ends], ends, strict=False)
            if start < end
        ]
        self.assertEqual(parse(pieces, True), parse(pieces, False))

    def test_chunks_of_one_byte_become_one(self):
        merger = chunk_merging.ChunkMerger()
        merged = merger.merge(b"1\r\nx\r\n" * 1_000)
        self.assertEqual(merged, b"3e8\r\n" + b"x" * 1_000 + b"\r\n")

    def test_merging_goes_on_after_any_cut(self):
        """Guards against a cut after which each chunk is parsed again."""
        data = b"2\r\nxy\r\n" * 100
        for cut in range(1, 30):
            merger = chunk_merging.ChunkMerger()
            merger.merge(data[:cut])
            merged = merger.merge(data[cut:])
            self.assertLess(merged.count(b"\r\n"), 8, cut)

    def test_the_end_and_what_follows_stay(self):
        merger = chunk_merging.ChunkMerger()
        end = b"0\r\n\r\n1\r\nx\r\n1\r\nx\r\n"
        merged = merger.merge(b"1\r\nx\r\n1\r\ny\r\n" + end)
        self.assertEqual(merged, b"2\r\nxy\r\n" + end)
        self.assertEqual(merger.merge(end), end)


if __name__ == "__main__":
    unittest.main()
