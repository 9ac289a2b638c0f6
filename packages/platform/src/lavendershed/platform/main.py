"""Runs a daemon on the external platform."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys

import result

from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import daemon
from lavendershed.platform import early_listener
from lavendershed.platform import factory
from lavendershed.platform import settings
from lavendershed.telemetry import buffered_log
from lavendershed.telemetry import events
from lavendershed.transport import boot_timers

# The file is also read periodically, because it may change without a SIGHUP.
_SETTINGS_INTERVAL = units.Seconds(2.0)
# EX_CONFIG, EX_OSERR and EX_SOFTWARE of sysexits.h.
_EX_CONFIG = 78
_EX_OSERR = 71
_EX_SOFTWARE = 70


class SettingsReloader:
    """Applies changes of the settings file without a restart."""

    def __init__(
        self,
        path: pathlib.Path,
        current: settings.PlatformSettings,
        components: factory.PlatformComponents,
        event_log: buffered_log.BufferedEventLog,
    ) -> None:
        self._path = path
        self._current = current
        self._components = components
        self._log = event_log
        self._rejected: str | None = None

    def reload(self) -> None:
        """Reads the settings file and applies it if it has changed."""
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
        self._components.apply(loaded.ok_value)
        self._log.emit(
            events.Event.SETTINGS_APPLIED,
            seeds=[str(seed) for seed in loaded.ok_value.seeds],
        )


def main(caller_listener: socket.socket | None = None) -> int:
    """Runs until SIGTERM; returns the exit status.

    Args:
        caller_listener: A socket that listens for callers already, if any.
    """
    path = pathlib.Path(os.environ.get(early_listener.SETTINGS_VARIABLE, ""))
    loaded = settings.load(path)
    event_log = buffered_log.BufferedEventLog(sys.stdout.fileno())
    if isinstance(loaded, result.Err):
        event_log.emit(events.Event.SETTINGS_REJECTED, reason=loaded.err_value)
        event_log.flush()
        return _EX_CONFIG
    # Not uvloop: it reports a reset that arrives together with data as a clean
    # EOF, so that a truncated response without a length would look complete.
    try:
        with asyncio.Runner() as runner:
            invariant_error = runner.run(
                _run(path, loaded.ok_value, event_log, caller_listener)
            )
    except OSError as error:
        event_log.emit(events.Event.DAEMON_START_FAILED, reason=str(error))
        event_log.flush()
        return _EX_OSERR
    if invariant_error is not None:
        event_log.emit(
            events.Event.INVARIANT_BROKEN, error=repr(invariant_error)
        )
    event_log.flush()
    return 0 if invariant_error is None else _EX_SOFTWARE


async def _run(
    path: pathlib.Path,
    platform_settings: settings.PlatformSettings,
    event_log: buffered_log.BufferedEventLog,
    caller_listener: socket.socket | None,
) -> Exception | None:
    loop = asyncio.get_running_loop()
    timer_service: timers.TimerService = boot_timers.BootTimerService(loop)
    event_log.start(timer_service)
    incarnation = ids.Incarnation(random.SystemRandom().getrandbits(62))
    components = factory.build(
        platform_settings,
        incarnation,
        timer_service,
        event_log,
        random.Random(),
    )
    loop.set_exception_handler(
        components.components.context.errors.on_loop_error
    )
    stop = asyncio.Event()
    reloader = SettingsReloader(path, platform_settings, components, event_log)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    timer_service.schedule_every(_SETTINGS_INTERVAL, reloader.reload)
    forwarding_daemon = daemon.ForwardingDaemon(
        components.components,
        daemon.Endpoints(
            platform_settings.caller_address,
            platform_settings.readiness_address,
            platform_settings.peer_address,
        ),
        platform_settings.grace_period,
        caller_listener,
    )
    return await forwarding_daemon.run(stop)
