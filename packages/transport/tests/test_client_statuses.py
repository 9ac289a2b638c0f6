"""Tests status lines that are none."""

from __future__ import annotations

import unittest

from lavendershed.core import units
from lavendershed.transport import address
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import streams

# No bytes come after those of the test.
TIMEOUT = units.Seconds(0.2)
REST = b"\r\ncontent-length: 2\r\n\r\nok"
ODD_LINES = (
    *(b"HTTP/1.1 20 OK", b"HTTP/1.1 2 OK", b"HTTP/1.1 0200 OK"),
    *(b"HTTP/1.1 2000 OK", b"HTTP/1.1 -20 OK", b"HTTP/1.1 +200 OK"),
    *(b"HTTP/1.1 -200 OK", b"HTTP/1.1  200 OK", b"HTTP/1.1\t200 OK"),
    *(b" HTTP/1.1 200 OK", b"HTTP/1.1 2 00 OK", b"HTTP/1.1 200OK"),
    *(b"HTTP/1.1 2x0 OK", b"HTTP/1.1 \xb2\xb0\xb0 OK", b"HTTP/1.1 OK"),
    *(b"HTTP/1.1", b"HTTP/1.1 ", b"200 OK", b"OK", b""),
    *(b"HTTP/0.9 200 OK", b"HTTP/1.2 200 OK", b"HTTP/2.0 200 OK"),
    *(b"HTTP/2 200 OK", b"HTTP/3.7 200 OK", b"HTTP/11 200 OK"),
    *(b"HTTP/1.10 200 OK", b"HTTP/01.1 200 OK", b"HTTP/1. 200 OK"),
    *(b"http/1.1 200 OK", b"HTTPS/1.1 200 OK", b"ICY 200 OK"),
)
SOUND_LINES = (
    *(b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 200 "),
    *(b"HTTP/1.1 200", b"HTTP/1.1 200 \xe9", b"HTTP/1.1 200 a b c"),
)


class _Transport:
    def is_closing(self):
        return False

    def abort(self):
        """Does nothing."""


class _Writer:
    transport = _Transport()

    def write(self, data):
        """Drops the request."""

    async def drain(self):
        """Does nothing."""

    def is_closing(self):
        return False

    def get_extra_info(self, name):
        """Returns None, as there is no socket."""


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """Guards against statuses that are none and reach a caller as they stand.

    All answers of engines, plain services, the store and relaying peers come
    through this client.
    """

    async def read_head(self, data):
        reader = streams.BufferedReader()
        connection = client.ClientConnection(
            reader, _Writer(), address.Address("127.0.0.1", 9)
        )
        self.addCleanup(connection.close)
        head = client.RequestHead("GET", "/x")
        (await connection.send(head, b"", TIMEOUT)).unwrap()
        reader.feed_data(data)
        reader.feed_eof()
        return await connection.read_head(TIMEOUT)

    async def test_only_final_statuses_are_answers(self):
        for status in range(1_000):
            line = b"HTTP/1.1 %03d X" % status
            head = await self.read_head(line + REST)
            with self.subTest(status=status):
                if 200 <= status < 600:
                    self.assertEqual(head.unwrap().status, status)
                else:
                    self.assertIn(
                        head.unwrap_err().kind,
                        (
                            errors.TransportErrorKind.PROTOCOL,
                            errors.TransportErrorKind.CONNECTION_LOST,
                        ),
                    )

    async def test_odd_status_lines_are_no_answers(self):
        for line in ODD_LINES:
            with self.subTest(line=line):
                head = await self.read_head(line + REST)
                self.assertTrue(head.is_err())

    async def test_sound_status_lines_are_answers(self):
        for line in SOUND_LINES:
            with self.subTest(line=line):
                head = await self.read_head(line + REST)
                self.assertEqual(head.unwrap().status, 200)

    async def test_an_interim_status_does_not_end_the_answer(self):
        for status in (100, 102, 103, 199):
            with self.subTest(status=status):
                interim = b"HTTP/1.1 %d X\r\n\r\n" % status
                head = await self.read_head(interim + SOUND_LINES[0] + REST)
                self.assertEqual(head.unwrap().status, 200)


if __name__ == "__main__":
    unittest.main()
