"""Signals to child processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal


def send_signal(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    """Sends a signal to a child process if it is running.

    `Process.send_signal` collects the exit status of a child that has just
    ended, which asyncio then reports as 255.
    """
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal_number)
