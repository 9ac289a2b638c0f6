"""Daemon process of the soak test."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

from lavendershed.core import units
from lavendershed.standin import loopback
from lavendershed.standin import signals
from lavendershed.transport import address as address_module

# Time that a daemon has for open requests after SIGTERM.
GRACE_PERIOD = units.Seconds(4.0)


class DaemonProcess:
    """A daemon process with its own loopback IP address."""

    def __init__(
        self, number: int, first_port: int, directory: pathlib.Path
    ) -> None:
        self._host = loopback.own_network().host(number)
        self._first_port = first_port
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._log = (directory / f"daemon-{number}.log").open("ab")
        # Signals that were sent, with the event loop's time.
        self._sent_signals: list[tuple[float, signal.Signals]] = []

    @property
    def frontend_address(self) -> address_module.Address:
        """Address for caller requests."""
        return address_module.Address(self._host, self._first_port)

    @property
    def readiness_address(self) -> address_module.Address:
        """Address of the readiness endpoint."""
        return address_module.Address(self._host, self._first_port + 1)

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(
        self, store: address_module.Address, seeds: list[str]
    ) -> None:
        """Starts the process with its own settings file."""
        path = self._directory / f"{self._host}.toml"
        path.write_text(self._settings_toml(store, seeds))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lavendershed.platform.entry",
            env={**os.environ, "LAVENDERSHED_CONFIG": str(path)},
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process is not None and self.running:
            now = asyncio.get_running_loop().time()
            self._sent_signals.append((now, signal_number))
            signals.send_signal(self._process, signal_number)

    def was_signalled(
        self, expected: tuple[signal.Signals, ...], since: float, until: float
    ) -> bool:
        """Returns whether one of `expected` was sent in a time range."""
        return any(
            since <= sent_at <= until and signal_number in expected
            for sent_at, signal_number in self._sent_signals
        )

    async def wait(self) -> int | None:
        """Waits until the process exits; returns its exit status."""
        return None if self._process is None else await self._process.wait()

    def close(self) -> None:
        """Kills the process and closes its log."""
        self.send_signal(signal.SIGKILL)
        self._log.close()

    def _settings_toml(
        self, store: address_module.Address, seeds: list[str]
    ) -> str:
        seed_addresses = ", ".join(f'"{seed}:1"' for seed in seeds)
        return f"""
node_name = "{self._host}"
ip = "{self._host}"
zone = "a"
internal_ports = [{self._first_port + 2}, {self._first_port + 3}]
seeds = [{seed_addresses}]
[listen]
frontend = "{self.frontend_address}"
ready = "{self.readiness_address}"
[bounds]
grace_s = {int(GRACE_PERIOD)}
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
[provider]
address = "{store}"
"""
