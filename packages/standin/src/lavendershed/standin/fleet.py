"""Starts stand-ins and routers as separate local processes."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import os
import pathlib
import signal
import sys

import result

from lavendershed.core import units
from lavendershed.standin import loopback
from lavendershed.standin import signals
from lavendershed.transport import address as address_module
from lavendershed.transport import client

_START_TIMEOUT = units.Seconds(15.0)
_POLL_INTERVAL = units.Seconds(0.05)
_WORKSPACE_COMMAND = (
    sys.executable,
    "-c",
    "from lavendershed.cli import main; main.main()",
)


@dataclasses.dataclass(slots=True)
class Member:
    """A started process."""

    name: str
    address: address_module.Address
    arguments: tuple[str, ...]
    process: asyncio.subprocess.Process

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        signals.send_signal(self.process, signal_number)


class Fleet:
    """Processes of one test or benchmark; `stop` kills all of them."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._members: dict[str, Member] = {}

    @property
    def directory(self) -> pathlib.Path:
        """Directory of logs and histories."""
        return self._directory

    def member(self, name: str) -> Member:
        """Returns a process by name."""
        return self._members[name]

    def history_path(self, name: str) -> pathlib.Path:
        """Returns the path of a stand-in's history."""
        return self._directory / f"{name}.history"

    def log_path(self, name: str) -> pathlib.Path:
        """Returns the path of a process's log."""
        return self._directory / f"{name}.log"

    async def start_standin(
        self,
        name: str,
        kind: str,
        *arguments: str,
        address: address_module.Address | None = None,
    ) -> Member:
        """Starts a stand-in; `kind` is its command, such as `model-engine`."""
        listen_address = address or loopback.own_network().free_address()
        return await self._start(
            name,
            listen_address,
            (
                sys.executable,
                "-m",
                "lavendershed.standin.main",
                kind,
                "--listen",
                str(listen_address),
                "--history",
                str(self.history_path(name)),
                *arguments,
            ),
        )

    async def start_router(
        self,
        name: str,
        store: address_module.Address,
        *arguments: str,
        address: address_module.Address | None = None,
        availability_zone: str = "zone-a",
        executable: tuple[str, ...] = _WORKSPACE_COMMAND,
        environment: Mapping[str, str] | None = None,
    ) -> Member:
        """Starts a router with VM id `name`."""
        listen_address = address or loopback.own_network().free_address()
        return await self._start(
            name,
            listen_address,
            (
                *executable,
                "router",
                "--vm",
                name,
                "--availability-zone",
                availability_zone,
                "--listen",
                str(listen_address),
                "--store",
                str(store),
                *arguments,
            ),
            environment,
        )

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Runs an operator command; returns its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            *_WORKSPACE_COMMAND,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        stdout, stderr = await process.communicate()
        assert process.returncode is not None
        return process.returncode, stdout.decode(), stderr.decode()

    async def restart(self, name: str) -> Member:
        """Restarts an exited process at the same address."""
        member = self._members[name]
        return await self._start(name, member.address, member.arguments)

    async def wait_ready(
        self, names: Sequence[str], timeout: units.Seconds = _START_TIMEOUT
    ) -> bool:
        """Waits for the named routers to be ready; False on timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        for name in names:
            while not await self._is_ready(name):
                if loop.time() > deadline:
                    return False
                await asyncio.sleep(_POLL_INTERVAL)
        return True

    async def stop(self) -> None:
        """Kills all started processes."""
        for member in self._members.values():
            # SIGKILL also ends a process that SIGSTOP has suspended.
            member.signal(signal.SIGKILL)
        for member in self._members.values():
            await member.process.wait()

    async def _is_ready(self, name: str) -> bool:
        response = await get(self._members[name].address, "/health/ready")
        return response is not None and response.head.status == 200

    async def _start(
        self,
        name: str,
        address: address_module.Address,
        arguments: tuple[str, ...],
        environment: Mapping[str, str] | None = None,
    ) -> Member:
        with self.log_path(name).open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *arguments,
                stdout=output,
                stderr=output,
                env=os.environ if environment is None else environment,
            )
        member = Member(name, address, arguments, process)
        self._members[name] = member
        await self._wait_listening(member)
        return member

    async def _wait_listening(self, member: Member) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _START_TIMEOUT
        while loop.time() < deadline and member.process.returncode is None:
            connected = await client.connect(member.address, _POLL_INTERVAL)
            if isinstance(connected, result.Ok):
                connected.ok_value.close()
                return
            await asyncio.sleep(_POLL_INTERVAL)
        log_text = self.log_path(member.name).read_text()
        raise RuntimeError(f"{member.name} did not start listening: {log_text}")


async def exchange(
    address: address_module.Address,
    head: client.RequestHead,
    body: bytes = b"",
    timeout: units.Seconds = units.Seconds(2.0),  # noqa: B008
) -> client.Response | None:
    """Sends one request; returns the response, or None on failure."""
    connected = await client.connect(address, timeout)
    if isinstance(connected, result.Err):
        return None
    connection = connected.ok_value
    try:
        await connection.send(head, body, timeout)
        head_result = await connection.read_head(timeout)
        if isinstance(head_result, result.Err):
            return None
        body_result = await connection.read_body(timeout, units.Bytes(10**8))
        if isinstance(body_result, result.Err):
            return None
        return client.Response(head_result.ok_value, body_result.ok_value)
    finally:
        connection.close()


async def get(
    address: address_module.Address, target: str
) -> client.Response | None:
    """Sends a GET request; returns the response, or None on failure."""
    return await exchange(address, client.RequestHead("GET", target))
