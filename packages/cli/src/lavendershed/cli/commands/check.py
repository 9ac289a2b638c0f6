"""The `check` command."""

from __future__ import annotations

import asyncio
import enum
import itertools
import pathlib

import click
import result

from lavendershed.cli import errors
from lavendershed.cli import output
from lavendershed.cli import session as session_module
from lavendershed.cli.commands import apply
from lavendershed.core import addresses
from lavendershed.platform import configuration_file
from lavendershed.platform import paths
from lavendershed.platform import stored_deployment
from lavendershed.routes import comparison
from lavendershed.routes import findings
from lavendershed.routes import model
from lavendershed.routes import review
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers
from lavendershed.transport import server_connection


class CheckStatus(enum.IntEnum):
    """Exit codes of the check; scripts depend on the numbers."""

    SOUND = 0
    WARNINGS = 1
    ERRORS = 2


@click.command()
@click.argument("file", type=apply.FILE)
@click.option(
    "--against", type=apply.FILE, help="File with the configuration in force."
)
@click.option(
    "--store",
    type=session_module.AddressType(),
    help="Numeric address of the platform's store, to read the configuration "
    "in force and the servers.",
)
@click.option(
    "--format",
    "output_format",
    type=click.Choice([choice.value for choice in output.OutputFormat]),
    default=output.OutputFormat.TABLE.value,
    show_default=True,
    callback=lambda _context, _option, value: output.OutputFormat(value),
)
@click.pass_context
def check(
    context: click.Context,
    file: pathlib.Path,
    against: pathlib.Path | None,
    store: addresses.Address | None,
    output_format: output.OutputFormat,
) -> None:
    """Checks a configuration of the platform before it is sent.

    The exit status is 0 if daemons apply FILE and nothing is odd about it, 1 if
    there are warnings, and 2 if daemons would not apply it.
    """
    if against is not None and store is not None:
        raise click.UsageError("--against and --store exclude each other")
    found = _check(_read(file), against, store)
    _print(found, output_format)
    context.exit(_status(found))


def _check(
    content: bytes,
    against: pathlib.Path | None,
    store: addresses.Address | None,
) -> tuple[findings.Finding, ...]:
    decoded = configuration_file.decode(content)
    if isinstance(decoded, result.Err):
        return (
            findings.Finding(findings.Rule.INVALID, None, decoded.err_value),
        )
    configuration = decoded.ok_value
    current: model.RoutingConfiguration | None = None
    servers = None
    if against is not None:
        current = _read_current(against)
    elif store is not None:
        deployment = _read_store(store)
        current, servers = deployment.configuration, deployment.servers
    return tuple(
        itertools.chain(
            review.review(configuration, server_connection.MAX_HEAD, servers),
            ()
            if current is None
            else comparison.compare(configuration, current),
        )
    )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.CommandError(
            errors.ExitCode.INVALID, f"{path}: cannot be read: {error}"
        ) from error


def _read_current(path: pathlib.Path) -> model.RoutingConfiguration:
    decoded = configuration_file.decode(_read(path))
    if isinstance(decoded, result.Err):
        raise errors.CommandError(
            errors.ExitCode.INVALID, f"{path}: {decoded.err_value}"
        )
    return decoded.ok_value


def _read_store(
    store: addresses.Address,
) -> stored_deployment.StoredDeployment:
    async def read() -> result.Result[stored_deployment.StoredDeployment, str]:
        return await stored_deployment.read(
            store,
            event_loop_timers.EventLoopTimerService(asyncio.get_running_loop()),
            log.MemoryEventLog(),
        )

    deployment = asyncio.run(read())
    if isinstance(deployment, result.Err):
        raise errors.CommandError(
            errors.ExitCode.STORE,
            f"the store at {store} could not be read: "
            f"{deployment.err_value}; check --store and try again",
        )
    return deployment.ok_value


def _print(
    found: tuple[findings.Finding, ...], output_format: output.OutputFormat
) -> None:
    if not found and output_format is output.OutputFormat.TABLE:
        click.echo("nothing found")
        return
    output.print_rows(
        output_format,
        ("severity", "rule", "place", "detail"),
        [
            (
                finding.severity.value,
                finding.rule.value,
                None
                if finding.place is None
                else paths.json_path(finding.place),
                finding.detail,
            )
            for finding in found
        ],
    )


def _status(found: tuple[findings.Finding, ...]) -> CheckStatus:
    severities = {finding.severity for finding in found}
    if findings.Severity.ERROR in severities:
        return CheckStatus.ERRORS
    if findings.Severity.WARNING in severities:
        return CheckStatus.WARNINGS
    return CheckStatus.SOUND
