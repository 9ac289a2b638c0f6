"""Tests crowds of clients that take the processor time of a daemon.

Each connection stays inside its own limits, and what it sends costs far more
time than memory. Each test starts one daemon with lowered limits of its
machine, keeps a crowd of connections open and checks that the daemon lives,
stays inside these limits and answers an ordinary request. Nothing here depends
on the speed of the machine.
"""

from __future__ import annotations

import unittest

import test_client_crowds as crowds

# With its other lines a head stays under its limit of 16,384 bytes.
SLASHES = 16_000


class LongPathTest(crowds.CrowdCase):
    """Guards against lookups whose time grows with the square of a path."""

    # As many requests are handled at a time as connections are accepted.
    LIMITS = {"memory_mb": 300, "max_fds": crowds.MAX_FDS}

    async def test_paths_of_many_slashes(self):
        path = b"/" * SLASHES
        request = b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path
        await self.assert_withstands(self.crowd().join(1_500, [request * 8]))


if __name__ == "__main__":
    unittest.main()
