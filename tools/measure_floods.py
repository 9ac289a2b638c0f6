"""Measures a daemon beside servers that send bytes without end.

Prints, for each part of an answer that does not end, the peak memory of the
daemon, the longest time in which its readiness endpoint did not answer, and the
sound calls that were answered; docs/CAPACITY.md has the figures.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import sys
import tempfile

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.standin import platform_engine
from lavendershed.standin import platform_store
from lavendershed.standin import soak_daemon
from lavendershed.transport import address as address_module
from lavendershed.transport import boot_timers
from lavendershed.transport import client

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import platform_case  # noqa: E402 - the configuration of the tests

_FLOODS_AT_ONCE = 40
_SECONDS = 5.0
_CHUNK = 65_536
_TIMEOUT = units.Seconds(5.0)
_HEAD = b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_STREAM, _CALL = "/stream/x", "/unsafe/x"
# Path of the request, head of the answer, and what follows without end.
_PARTS = {
    "none": (_CALL, b"", b""),
    "header": (_CALL, _HEAD + b"x: ", b"x"),
    "interim responses": (_CALL, b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body with a length": (
        _CALL,
        _HEAD + b"content-length: 999999999999\r\n\r\n",
        b"x",
    ),
    "small chunks": (_CALL, _CHUNKED, b"1\r\nx\r\n"),
    "body until the close": (_CALL, _HEAD + b"\r\n", b"x"),
    "refusal": (
        _CALL,
        b"HTTP/1.1 503 x\r\nattempt-id: %s\r\nnot-executed: 1\r\n\r\n",
        b"x",
    ),
    "line ends in a stream": (_STREAM, _HEAD + b"\r\n", b"\n"),
    "comments in a stream": (_STREAM, _HEAD + b"\r\n", b": x\n\n"),
    "event without end": (_STREAM, _HEAD + b"\r\n", b"x"),
    "events without ids": (_STREAM, _HEAD + b"\r\n", b"a\n\n"),
}


class _Flood:
    """Servers that send one part without end."""

    def __init__(self) -> None:
        self.head = b""
        self.repeated = b""
        self._server: asyncio.Server | None = None

    async def start(self) -> address_module.Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return address_module.Address(host, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.partition(b"attempt-id: ")[2].partition(b"\r")[0]
            writer.write(self.head.replace(b"%s", request_id))
            chunk = self.repeated * (_CHUNK // max(1, len(self.repeated)))
            while chunk and not writer.is_closing():
                writer.write(chunk)
                await writer.drain()
                await asyncio.sleep(0)
        writer.close()


async def _request(address: address_module.Address, path: str) -> int:
    """Sends one request; returns its status, 0 without an answer."""
    opened = await client.connect(address, _TIMEOUT)
    if opened.is_err():
        return 0
    connection = opened.unwrap()
    fields = {
        "host": platform_case.HOST,
        "attempt-id": os.urandom(6).hex(),
        "x-api-key": platform_case.KEY,
        "deadline-ms": "3000",
    }
    if path == _STREAM:
        fields["token-count"] = "1000,100"
    try:
        head = client.RequestHead("POST", path, tuple(fields.items()))
        await connection.send(head, b"body", _TIMEOUT)
        response = await connection.read_head(_TIMEOUT)
        if response.is_err():
            return 0
        await connection.read_body(_TIMEOUT, units.Bytes(10_000_000))
        return response.unwrap().status
    finally:
        connection.close()


async def _longest_stop(daemon: soak_daemon.DaemonProcess) -> float:
    """Asks for readiness all the time; returns the longest time in seconds."""
    loop = asyncio.get_running_loop()
    connection = (
        await client.connect(daemon.readiness_address, _TIMEOUT)
    ).unwrap()
    longest = 0.0
    end = loop.time() + _SECONDS
    while loop.time() < end:
        started = loop.time()
        await connection.send(
            client.RequestHead("GET", "/readyz"), b"", _TIMEOUT
        )
        await connection.read_head(_TIMEOUT)
        await connection.read_body(_TIMEOUT, units.Bytes(1_000))
        longest = max(longest, loop.time() - started)
        connection.start_next_exchange()
        await asyncio.sleep(0.002)
    connection.close()
    return longest


def _peak_megabytes(process: int) -> float:
    status = pathlib.Path(f"/proc/{process}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) / 1_000


async def _measure(part: str, timer_service: timers.TimerService) -> None:
    path, head, repeated = _PARTS[part]
    store = platform_store.StandinPlatformStore(timer_service)
    await store.start()
    store.put("config", "main", platform_case.configuration(1))
    engine = platform_engine.StandinPlatformEngine("sound", timer_service)
    await engine.start()
    flood = _Flood()
    flood.head, flood.repeated = head, repeated
    flooded, sound = platform_case.PLAIN_SERVICE, platform_case.MODEL_SERVICE
    if path == _STREAM:
        flooded, sound = sound, flooded
    for name, service, address in (
        ("flood", flooded, await flood.start()),
        ("sound", sound, engine.address),
    ):
        store.put(
            "servers",
            name,
            {
                "service": service,
                "address": str(address),
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "born": 1,
                "seq": 1,
            },
        )
    with tempfile.TemporaryDirectory() as directory:
        daemon = soak_daemon.DaemonProcess(1, 18_000, pathlib.Path(directory))
        await daemon.start(store.address, [])
        other = _CALL if path == _STREAM else _STREAM
        while await _request(daemon.frontend_address, other) != 200:
            await asyncio.sleep(0.1)
        floods = [
            asyncio.ensure_future(_request(daemon.frontend_address, path))
            for _ in range(_FLOODS_AT_ONCE)
        ]
        stop = asyncio.ensure_future(_longest_stop(daemon))
        statuses = []
        while not stop.done():
            statuses.append(await _request(daemon.frontend_address, other))
            await asyncio.sleep(0.02)
        process = daemon._process  # noqa: SLF001 - the id is not public
        assert process is not None
        print(
            f"{part:22} peak {_peak_megabytes(process.pid):5.0f} MB, longest "
            f"stop {stop.result() * 1_000:5.0f} ms, sound requests "
            f"{statuses.count(200)} of {len(statuses)}"
        )
        await asyncio.gather(*floods)
        daemon.send_signal(signal.SIGKILL)
        await daemon.wait()
        daemon.close()
    engine.close()
    store.close()


async def main() -> None:
    """Measures each part."""
    timer_service = boot_timers.BootTimerService(asyncio.get_running_loop())
    for part in itertools.chain(sys.argv[1:] or _PARTS):
        await _measure(part, timer_service)


if __name__ == "__main__":
    asyncio.run(main())
