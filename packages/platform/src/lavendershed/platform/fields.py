"""Reads fields of decoded bodies and names the field that is wrong."""

from __future__ import annotations

from typing import Any

# Body of the platform: any JSON value.
Body = Any


class FieldError(Exception):
    """A field is missing or holds another type than it should."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")


def table(body: Body, name: str) -> dict[str, Body]:
    """Returns `body` as a table.

    Raises:
        FieldError: It is something else.
    """
    if not isinstance(body, dict):
        raise FieldError(name, "is not a table")
    return body


def text(body: dict[str, Body], name: str) -> str:
    """Returns a text that is not empty.

    Raises:
        FieldError: It is missing, empty or something else.
    """
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "is not a text")
    return value


def number(
    body: dict[str, Body], name: str, default: float | None = None
) -> float:
    """Returns a number that is not negative.

    Raises:
        FieldError: It is missing without a default, or something else.
    """
    value = body.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or value < 0
    ):
        raise FieldError(name, "is not a number from 0 on")
    return value


def whole(body: dict[str, Body], name: str, default: int | None = None) -> int:
    """Returns a whole number that is not negative.

    Raises:
        FieldError: It is missing without a default, or something else.
    """
    value = number(body, name, default)
    if value != int(value):
        raise FieldError(name, "is not a whole number")
    return int(value)


def flag(body: dict[str, Body], name: str) -> bool:
    """Returns a truth value; a missing one is false.

    Raises:
        FieldError: It is something else.
    """
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, "is neither true nor false")
    return value


def items(body: dict[str, Body], name: str) -> list[Body]:
    """Returns a list.

    Raises:
        FieldError: It is missing or something else.
    """
    value = body.get(name)
    if not isinstance(value, list):
        raise FieldError(name, "is not a list")
    return value
