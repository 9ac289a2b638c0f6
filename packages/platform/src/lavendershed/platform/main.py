"""Runs a daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys

import result

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import daemon
from lavendershed.platform import factory
from lavendershed.platform import settings
from lavendershed.telemetry import buffered_log
from lavendershed.telemetry import events
from lavendershed.transport import boot_timers

SETTINGS_VARIABLE = "LAVENDERSHED_CONFIG"
# The file may change without a signal.
_SETTINGS_INTERVAL = units.Seconds(2.0)
# EX_CONFIG and EX_SOFTWARE of sysexits.h.
_BAD_SETTINGS_STATUS = 78
_BROKEN_INVARIANT_STATUS = 70


class SettingsReloader:
    """Takes over changes of the settings file without a restart."""

    def __init__(
        self,
        path: pathlib.Path,
        current: settings.PlatformSettings,
        parts: factory.PlatformParts,
        event_log: buffered_log.BufferedEventLog,
    ) -> None:
        self._path = path
        self._current = current
        self._parts = parts
        self._log = event_log
        self._rejected: str | None = None

    def reload(self) -> None:
        """Reads the file and applies what has changed."""
        loaded = settings.load(self._path)
        if isinstance(loaded, result.Err):
            if loaded.err_value != self._rejected:
                self._rejected = loaded.err_value
                self._log.emit(
                    events.Event.SETTINGS_REJECTED, reason=loaded.err_value
                )
            return
        self._rejected = None
        if loaded.ok_value == self._current:
            return
        self._current = loaded.ok_value
        self._parts.apply(loaded.ok_value)
        self._log.emit(
            events.Event.SETTINGS_APPLIED,
            seeds=[str(seed) for seed in loaded.ok_value.seeds],
        )


def main() -> int:
    """Runs until SIGTERM; returns the exit status."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = settings.load(path)
    event_log = buffered_log.BufferedEventLog(sys.stdout.fileno())
    if isinstance(loaded, result.Err):
        event_log.emit(events.Event.SETTINGS_REJECTED, reason=loaded.err_value)
        event_log.flush()
        return _BAD_SETTINGS_STATUS
    # Not uvloop: it reports a reset that arrives together with data as an
    # orderly end, and an answer without a length would look complete.
    with asyncio.Runner() as runner:
        broken = runner.run(_run(path, loaded.ok_value, event_log))
    if broken is not None:
        event_log.emit(events.Event.INVARIANT_BROKEN, error=repr(broken))
    event_log.flush()
    return 0 if broken is None else _BROKEN_INVARIANT_STATUS


async def _run(
    path: pathlib.Path,
    current: settings.PlatformSettings,
    event_log: buffered_log.BufferedEventLog,
) -> Exception | None:
    loop = asyncio.get_running_loop()
    timer_service: timers.TimerService = boot_timers.BootTimerService(loop)
    event_log.start(timer_service)
    incarnation = ids.Incarnation(random.SystemRandom().getrandbits(62))
    parts = factory.build(
        current, incarnation, timer_service, event_log, random.Random()
    )
    stop = asyncio.Event()
    reloader = SettingsReloader(path, current, parts, event_log)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    timer_service.schedule_every(_SETTINGS_INTERVAL, reloader.reload)
    running = daemon.ForwardingDaemon(
        parts.components,
        daemon.Endpoints(current.callers, current.ready, current.peers),
        current.grace,
    )
    return await running.run(stop)


if __name__ == "__main__":
    sys.exit(main())
