"""The `router` command."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys

import click
import pydantic
import result
import uvloop

from lavendershed.cli import settings
from lavendershed.daemon import factory
from lavendershed.daemon import options
from lavendershed.telemetry import instruments
from lavendershed.telemetry import log
from lavendershed.telemetry import unexpected_errors
from lavendershed.transport import event_loop_timers

# EX_SOFTWARE of sysexits.h.
_INVARIANT_VIOLATION_STATUS = 70


@click.command()
@click.option("--vm", help="Id of this VM.")
@click.option("--availability-zone", help="Availability zone of this VM.")
@click.option("--listen", help="Numeric address for callers, host:port.")
@click.option("--store", help="Numeric address of the object API.")
@click.option("--peer-listen", help="Numeric address for other routers.")
@click.option("--peers", help="Comma-separated addresses of other routers.")
@click.option(
    "--peer-keys",
    help="One or two comma-separated shared secrets in hexadecimal. Prefer the "
    "environment variable LAVENDERSHED_PEER_KEYS: flags are visible to "
    "other processes.",
)
@click.option(
    "--deployment",
    help="Id of the deployment; its routers ignore other deployments.",
)
@click.option("--idle-timeout-seconds", type=float)
@click.option("--settle-time-seconds", type=float)
@click.option("--poll-interval-seconds", type=float)
@click.option("--engine-poll-interval-seconds", type=float)
@click.option("--store-calls-per-second", type=float)
@click.option("--weight-loads-per-second", type=float)
@click.option(
    "--event-loop", help="Event loop of the process: asyncio or uvloop."
)
def router(**flags: str | float | None) -> None:
    """Runs the router until SIGTERM."""
    given_flags = {
        name: value for name, value in flags.items() if value is not None
    }
    try:
        router_settings = settings.RouterSettings.from_flags(given_flags)
    except pydantic.ValidationError as error:
        raise click.UsageError(_format_errors(error)) from error
    # uvloop reads this variable when it creates its loop.
    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(
        loop_factory=lambda: _new_event_loop(router_settings.event_loop)
    ) as runner:
        outcome = runner.run(_run(router_settings.options()))
    if isinstance(outcome, result.Err):
        sys.exit(_INVARIANT_VIOLATION_STATUS)


def _new_event_loop(name: settings.EventLoop) -> asyncio.AbstractEventLoop:
    if name is settings.EventLoop.UVLOOP:
        loop: asyncio.AbstractEventLoop = uvloop.new_event_loop()
        return loop
    return asyncio.new_event_loop()


def _format_errors(error: pydantic.ValidationError) -> str:
    lines = [
        f"{_format_location(item['loc'])}{item['msg']}"
        for item in error.errors()
    ]
    return "; ".join(lines)


def _format_location(location: tuple[int | str, ...]) -> str:
    # Errors of checks across several settings have no location.
    if not location:
        return ""
    return f"--{str(location[0]).replace('_', '-')}: "


async def _run(
    router_options: options.RouterOptions,
) -> result.Result[None, Exception]:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    event_log = log.EliotEventLog(sys.stdout)
    router_instruments = instruments.Instruments(router_options.vm)
    errors = unexpected_errors.ErrorRecorder(
        event_log, router_instruments.count_unexpected_error
    )
    loop.set_exception_handler(errors.on_loop_error)
    router_factory = factory.RouterFactory(
        router_options,
        event_loop_timers.EventLoopTimerService(loop),
        event_log,
        router_instruments,
        random.Random(),
    )
    return await router_factory.build().run(stop)
