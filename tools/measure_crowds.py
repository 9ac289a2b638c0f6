"""Measures a daemon beside crowds of callers that it does not control.

Prints, for each crowd, the peak memory and descriptors of the daemon, and the
status of an ordinary request while the crowd stays open; the figures are in
docs/design/client-memory.md. The machine has 200 MB and 4,100 descriptors.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import test_client_crowds as crowds  # noqa: E402 - the crowds of the tests
import test_client_processing as processing  # noqa: E402

_PIECE = 4_096


def _pieces(data: bytes) -> list[bytes]:
    return [data[at : at + _PIECE] for at in range(0, len(data), _PIECE)]


_SLASHES = b"/" * processing.SLASHES
_LINES = b"a:\r\n" * processing.HEADER_LINES
_MEDIUM = crowds.unfinished_request(crowds.MEDIUM_BODY)
# Number of connections, what each of them sends, and whether it asks for
# readiness.
_CROWDS: dict[str, tuple[int, list[bytes], bool]] = {
    "1,500 bodies of 65,010 bytes": (1_500, [_MEDIUM], False),
    "3,500 of the same": (3_500, [_MEDIUM], False),
    "800 of the same in pieces of 4 kB": (800, _pieces(_MEDIUM), False),
    "200 bodies of 4 MB": (
        200,
        [crowds.unfinished_request(crowds.LARGEST_BODY)],
        False,
    ),
    "60 at the readiness path, unread": (
        60,
        [crowds.PIPELINED_READINESS * crowds.REQUESTS_AHEAD],
        True,
    ),
    "500 of the same": (
        500,
        [crowds.PIPELINED_READINESS * crowds.REQUESTS_AHEAD],
        True,
    ),
    "400 bodies of 4 MB, chunks of 16 kB": (
        400,
        processing.chunked_request(
            crowds.LARGEST_BODY, processing.MEDIUM_CHUNK
        ),
        False,
    ),
    "600 bodies of 60 kB, chunks of 16 B": (
        600,
        processing.chunked_request(
            processing.SMALL_CHUNKS_BODY, processing.SMALL_CHUNK
        ),
        False,
    ),
    "300 bodies of 60 kB, chunks of 1 B": (
        300,
        processing.chunked_request(processing.SMALL_CHUNKS_BODY, 1),
        False,
    ),
    "500 with paths of 16,000 slashes": (
        500,
        [b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % _SLASHES * 40],
        False,
    ),
    "500 with heads of 3,900 lines": (
        500,
        [b"GET /x HTTP/1.1\r\nhost: x\r\n%s\r\n" % _LINES * 40],
        False,
    ),
    "500 at a path without a route": (
        500,
        [crowds.PIPELINED_NO_ROUTE * crowds.REQUESTS_AHEAD],
        False,
    ),
}


class _Measurement(crowds.CrowdCase):
    """One daemon on a machine of 200 MB."""

    LIMITS = {"memory_mb": 200, "max_fds": 4_100}

    def __init__(self, name: str) -> None:
        super().__init__("runTest")
        self._crowd_name = name

    async def runTest(self) -> None:  # noqa: N802 - the name of unittest
        """Prints what one crowd does to the daemon."""
        name = self._crowd_name
        count, parts, at_readiness = _CROWDS[name]
        crowd = self.crowd(
            self.daemon.readiness_address if at_readiness else None
        )
        sampling = asyncio.get_running_loop().create_task(
            self.sample_descriptors()
        )
        await crowd.join(count, parts)
        started = time.monotonic()
        status = await self.ordinary_request()
        seconds = time.monotonic() - started
        sampling.cancel()
        print(
            f"{name:36} peak {self.peak_memory() / 1e6:4.0f} MB, "
            f"{self.most_descriptors:5} descriptors, ordinary request "
            f"{status} after {seconds:.2f} s, readiness "
            f"{await self.readiness()}",
            flush=True,
        )


if __name__ == "__main__":
    unittest.TextTestRunner(verbosity=0).run(
        unittest.TestSuite(_Measurement(name) for name in _CROWDS)
    )
