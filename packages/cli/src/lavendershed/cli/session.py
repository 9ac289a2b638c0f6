"""Options and store access that operator commands share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import getpass
import random
import secrets
from typing import Any
from typing import TypeVar

import click
import result

from lavendershed.cli import errors
from lavendershed.cli import output
from lavendershed.configuration import changes
from lavendershed.configuration import model
from lavendershed.configuration import writer as writer_module
from lavendershed.core import addresses
from lavendershed.core import backoff
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.objects import configuration_store
from lavendershed.objects import http_store
from lavendershed.transport import event_loop_timers
from lavendershed.transport import pool

ResultT = TypeVar("ResultT")
Command = Callable[..., Any]

DEFAULT_TIME_LIMIT_SECONDS = 10.0
MAX_TIME_LIMIT_SECONDS = 3_600.0


class AddressType(click.ParamType[addresses.Address]):
    """Option value: a numeric address."""

    name = "address"

    def convert(
        self,
        value: Any,  # noqa: ANN401
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> addresses.Address:
        """Returns the parsed address; fails with a usage error."""
        if isinstance(value, addresses.Address):
            return value
        parsed = addresses.parse(value)
        if isinstance(parsed, result.Err):
            self.fail(parsed.err_value, param, ctx)
        return parsed.ok_value


def store_option(command: Command) -> Command:
    """Adds the options of every command that calls the store."""
    command = click.option(
        "--time-limit-seconds",
        type=click.FloatRange(
            0, MAX_TIME_LIMIT_SECONDS, min_open=True, max_open=False
        ),
        default=DEFAULT_TIME_LIMIT_SECONDS,
        show_default=True,
        help="Time limit for the calls to the store.",
    )(command)
    return click.option(
        "--store",
        type=AddressType(),
        envvar="LAVENDERSHED_STORE",
        required=True,
        help="Numeric address of the object API, host:port.",
    )(command)


def output_option(command: Command) -> Command:
    """Adds the choice of the output format."""
    return click.option(
        "--output",
        "output_format",
        type=click.Choice([choice.value for choice in output.OutputFormat]),
        default=output.OutputFormat.TABLE.value,
        show_default=True,
        callback=lambda _context, _option, value: output.OutputFormat(value),
    )(command)


def operator_option(command: Command) -> Command:
    """Adds the operator's name for the change history."""
    return click.option(
        "--operator",
        envvar="LAVENDERSHED_OPERATOR",
        default=_user_name,
        help="Operator in the change history; the user name by default.",
    )(command)


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # The user id has no entry in the password database.
        return "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """Access to the store on the running event loop."""

    store: object_store.ObjectStore
    timers: timers.TimerService

    @property
    def configuration(self) -> configuration_store.ConfigurationStore:
        """Access to the configuration objects."""
        return configuration_store.ConfigurationStore(self.store)


class Session:
    """Runs the store calls of one command."""

    def __init__(
        self, store: addresses.Address, time_limit: units.Seconds
    ) -> None:
        self._store = store
        self._time_limit = time_limit

    def run(self, operation: Callable[[Access], Awaitable[ResultT]]) -> ResultT:
        """Runs `operation` on an event loop and returns its result."""

        async def run() -> ResultT:
            timer_service = event_loop_timers.EventLoopTimerService(
                asyncio.get_running_loop()
            )
            connections = pool.ConnectionPool(
                self._store, timer_service, pool.PoolLimits()
            )
            store = http_store.HttpObjectStore(connections)
            try:
                return await operation(Access(store, timer_service))
            finally:
                connections.close()

        return asyncio.run(run())

    def read(self) -> model.Configuration:
        """Returns the stored configuration.

        Raises:
            CommandError: The configuration cannot be read.
        """
        configuration = self.run(lambda access: access.configuration.read())
        if isinstance(configuration, result.Err):
            raise errors.read_error(configuration.err_value)
        return configuration.ok_value

    def write(
        self, change: changes.Change, operator: str
    ) -> writer_module.Accepted | writer_module.Unchanged:
        """Writes one change.

        Raises:
            CommandError: The change was rejected, or its outcome is unknown.
        """
        metadata = writer_module.ChangeMetadata(
            ids.ChangeId(secrets.token_hex(16)),
            operator,
            datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        )

        async def apply_change(access: Access) -> writer_module.Outcome:
            writer = writer_module.ChangeWriter(
                change,
                metadata,
                configuration_store.JsonChunkHasher(),
                backoff.Backoff(random.Random()),
                units.after(access.timers.now(), self._time_limit),
            )
            runner = configuration_store.ChangeRunner(
                access.configuration, access.timers
            )
            return await runner.run(writer)

        outcome = self.run(apply_change)
        if isinstance(outcome, result.Err):
            raise errors.change_error(outcome.err_value)
        return outcome.ok_value
