"""Errors of operator commands with their exit codes."""

from __future__ import annotations

import enum

import click

from lavendershed.configuration import validation
from lavendershed.configuration import writer
from lavendershed.core import object_store
from lavendershed.objects import configuration_store


class ExitCode(enum.IntEnum):
    """Exit codes of operator commands; scripts depend on the numbers."""

    INVALID = 2
    STORE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    NOT_APPLIED = 6


class CommandError(click.ClickException):
    """Error that ends a command with a message and an exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self._code = code

    @property
    def exit_code(self) -> int:  # type: ignore[override]
        """The exit status of the process."""
        return int(self._code)


def validation_error(problems: tuple[validation.Problem, ...]) -> CommandError:
    """Returns the error for an invalid configuration."""
    if len(problems) == 1:
        return CommandError(ExitCode.INVALID, str(problems[0]))
    lines = "".join(f"\n  {problem}" for problem in problems)
    return CommandError(ExitCode.INVALID, f"{len(problems)} problems:{lines}")


def read_error(error: configuration_store.ReadError) -> CommandError:
    """Returns the error for a failed read."""
    if isinstance(error, configuration_store.UndecodableObject):
        return CommandError(
            ExitCode.STORE, f"stored data cannot be read: {error.detail}"
        )
    return store_error(error)


def store_error(error: object_store.StoreError) -> CommandError:
    """Returns the error for a failed call to the store."""
    return CommandError(
        ExitCode.STORE,
        f"the object store gave no result ({error.kind.value}): "
        f"{error.detail}; check --store and try again",
    )


def change_error(failure: writer.Failure) -> CommandError:
    """Returns the error for a change that was not accepted."""
    match failure:
        case writer.Rejected(problems):
            return validation_error(problems)
        case writer.Conflict():
            return CommandError(ExitCode.CONFLICT, _format_conflict(failure))
        case writer.OutcomeUnknown(change_id, detail):
            return CommandError(
                ExitCode.OUTCOME_UNKNOWN,
                f"change {change_id} may or may not have been accepted: "
                f"{detail}; check `lavendershed history` before repeating the "
                "change",
            )
        case writer.StoreFailed(detail):
            return CommandError(
                ExitCode.STORE,
                f"the object store gave no result: {detail}; nothing was "
                "changed, check --store and try again",
            )
        case writer.Unreadable(detail):
            return CommandError(
                ExitCode.STORE,
                f"the stored configuration cannot be read: {detail}; nothing "
                "was changed",
            )


def _format_conflict(conflict: writer.Conflict) -> str:
    lines = [f"\n  {difference}" for difference in conflict.differences]
    lines += [
        f"\n  epoch {change.epoch} by {change.operator}: {change.summary}"
        for change in conflict.accepted
    ]
    return (
        "another change touched the same items first, nothing was changed; "
        "look at it and repeat the command:" + "".join(lines)
    )
