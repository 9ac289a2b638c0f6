"""Reads fields of decoded bodies and names the field that is wrong."""

from __future__ import annotations

from typing import Any

# Body of the platform: any JSON value.
JsonValue = Any


class FieldError(Exception):
    """A field is missing or holds another type than it should."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")


def as_table(body: JsonValue, name: str) -> dict[str, JsonValue]:
    """Returns `body` as a table.

    Raises:
        FieldError: It is something else.
    """
    if not isinstance(body, dict):
        raise FieldError(name, "is not a table")
    return body


def string(body: dict[str, JsonValue], name: str) -> str:
    """Returns a text that is not empty.

    Raises:
        FieldError: It is missing, empty or something else.
    """
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "is not a text")
    return value


def number(
    body: dict[str, JsonValue], name: str, default: float | None = None
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


def integer(
    body: dict[str, JsonValue], name: str, default: int | None = None
) -> int:
    """Returns a whole number that is not negative.

    Raises:
        FieldError: It is missing without a default, or something else.
    """
    value = number(body, name, default)
    if value != int(value):
        raise FieldError(name, "is not a whole number")
    return int(value)


def boolean(body: dict[str, JsonValue], name: str) -> bool:
    """Returns a truth value; a missing one is false.

    Raises:
        FieldError: It is something else.
    """
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, "is neither true nor false")
    return value


def array(body: dict[str, JsonValue], name: str) -> list[JsonValue]:
    """Returns a list.

    Raises:
        FieldError: It is missing or something else.
    """
    value = body.get(name)
    if not isinstance(value, list):
        raise FieldError(name, "is not a list")
    return value
