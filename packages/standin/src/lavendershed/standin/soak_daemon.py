"""Daemon process of the soak test."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
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
        self,
        number: int,
        first_port: int,
        directory: pathlib.Path,
        checkout: pathlib.Path | None = None,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """Creates a process that is not started.

        Args:
            number: Number of the daemon, from 0.
            first_port: First of its ports.
            directory: Directory of its settings and log.
            checkout: Root of the source tree to run; None for this one.
            limits: Limits of the machine as the settings file names them.
        """
        self._limits = dict(limits or {})
        self._host = loopback.own_network().host(number)
        self._first_port = first_port
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._checkout = checkout
        self._log_path = directory / f"daemon-{number}.log"
        self._log = self._log_path.open("ab")
        self._retry_budget_slack = 100
        self._started_with: tuple[address_module.Address, list[str]] | None = (
            None
        )
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
    def log_path(self) -> pathlib.Path:
        """The log of all processes of this daemon."""
        return self._log_path

    @property
    def process_id(self) -> int:
        """Id of the process; valid after `start`."""
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(
        self, store: address_module.Address, seeds: list[str]
    ) -> None:
        """Starts the process with its own settings file."""
        self._started_with = (store, seeds)
        self._write_settings()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lavendershed.platform.entry",
            env=self._environment(),
            stdout=self._log,
            stderr=self._log,
        )

    def change_settings(self, retry_budget_slack: int) -> None:
        """Changes the settings file and tells the process to read it."""
        self._retry_budget_slack = retry_budget_slack
        self._write_settings()
        self.send_signal(signal.SIGHUP)

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

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._directory / f"{self._host}.toml"

    def _environment(self) -> dict[str, str]:
        environment = {
            **os.environ,
            "LAVENDERSHED_CONFIG": str(self._settings_path),
        }
        if self._checkout is not None:
            environment["PYTHONPATH"] = os.pathsep.join(
                str(path)
                for path in sorted(self._checkout.glob("packages/*/src"))
            )
            # The other source tree is only read.
            environment["PYTHONDONTWRITEBYTECODE"] = "1"
        return environment

    def _write_settings(self) -> None:
        assert self._started_with is not None
        # The process may read the file at any moment.
        new_path = self._settings_path.with_suffix(".new")
        new_path.write_text(self._settings_toml(*self._started_with))
        new_path.replace(self._settings_path)

    def _settings_toml(
        self, store: address_module.Address, seeds: list[str]
    ) -> str:
        seed_addresses = ", ".join(f'"{seed}:1"' for seed in seeds)
        limits = "\n".join(f"{n} = {v}" for n, v in self._limits.items())
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
budget_slack = {self._retry_budget_slack}
evacuate_ms = 5000
[provider]
address = "{store}"
[limits]
{limits}
"""
