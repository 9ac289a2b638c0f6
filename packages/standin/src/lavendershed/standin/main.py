"""Command line of the stand-ins: `python -m lavendershed.standin.main`."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal

import click

from lavendershed.core import units
from lavendershed.standin import engine_timing_model
from lavendershed.standin import history as history_module
from lavendershed.standin import model_engine
from lavendershed.standin import object_store
from lavendershed.standin import plain_service
from lavendershed.transport import address
from lavendershed.transport import event_loop_timers
from lavendershed.transport import handlers
from lavendershed.transport import server

_listen = click.option("--listen", required=True, help="host:port")
_history = click.option(
    "--history", type=click.Path(path_type=pathlib.Path), default=None
)


@click.group()
def main() -> None:
    """Runs stand-ins for external systems in tests and benchmarks."""


async def _serve(handler: handlers.Handler, listen: str) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    listener = server.HttpServer(
        handler,
        event_loop_timers.EventLoopTimerService(loop),
        server.ServerLimits(),
    )
    await listener.start(address.parse(listen).unwrap())
    await stop_requested.wait()
    listener.close()


@main.command("object-store")
@_listen
@_history
def object_store_command(listen: str, history: pathlib.Path | None) -> None:
    """Runs an object store."""

    async def run() -> None:
        await _serve(
            object_store.ObjectStoreHandler(history_module.History(history)),
            listen,
        )

    asyncio.run(run())


@main.command("model-engine")
@_listen
@_history
@click.option("--model", "models", multiple=True)
@click.option("--kv-tokens", type=int, default=400_000)
@click.option("--prefill-rate", type=float, default=20_000.0)
@click.option("--decode-ms", type=float, default=10.0)
@click.option("--seed", type=int, default=None)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--load-seconds", type=float, default=1.0)
@click.option("--report-lag-seconds", type=float, default=0.1)
@click.option("--cache-gap-share", type=float, default=0.02)
@click.option("--bytes-per-token", type=int, default=1)
def model_engine_command(
    listen: str,
    history: pathlib.Path | None,
    models: tuple[str, ...],
    kv_tokens: int,
    prefill_rate: float,
    decode_ms: float,
    seed: int | None,
    checks_fencing: bool,
    load_seconds: float,
    report_lag_seconds: float,
    cache_gap_share: float,
    bytes_per_token: int,
) -> None:
    """Runs a model engine."""

    async def run() -> None:
        handler = model_engine.ModelEngineHandler(
            engine_timing_model.EngineSettings(
                prefill_rate=prefill_rate,
                decode_base=units.Seconds(decode_ms / 1000),
                kv_tokens=units.Tokens(kv_tokens),
            ),
            model_engine.EngineOptions(
                models,
                checks_fencing,
                units.Seconds(load_seconds),
                units.Seconds(report_lag_seconds),
                cache_gap_share=cache_gap_share,
                bytes_per_token=bytes_per_token,
            ),
            history_module.History(history),
            event_loop_timers.EventLoopTimerService(asyncio.get_running_loop()),
            random.Random(seed),
        )
        step_task = asyncio.create_task(handler.run())
        await _serve(handler, listen)
        step_task.cancel()

    asyncio.run(run())


@main.command("plain-service")
@_listen
@_history
@click.option("--duration-ms", type=int, default=5)
@click.option(
    "--route-duration-ms",
    "route_durations",
    type=(str, int),
    multiple=True,
    help="path and duration in ms of one route",
)
def plain_service_command(
    listen: str,
    history: pathlib.Path | None,
    duration_ms: int,
    route_durations: tuple[tuple[str, int], ...],
) -> None:
    """Runs a backend server of a plain service."""

    async def run() -> None:
        await _serve(
            plain_service.PlainServiceHandler(
                history_module.History(history),
                plain_service.PlainServiceSettings(
                    duration_ms, dict(route_durations)
                ),
            ),
            listen,
        )

    asyncio.run(run())


if __name__ == "__main__":
    main()
