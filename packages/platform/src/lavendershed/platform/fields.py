"""Typed access to decoded JSON or TOML; errors name the invalid field."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

# A decoded value of any JSON type.
JsonValue = Any
_DecodedT = TypeVar("_DecodedT")
# Integers are sent to peers as signed ones of 64 bits.
_MAX_INTEGER = 2**63 - 1


class FieldError(Exception):
    """A field is missing or has the wrong type."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self._field = field
        self._problem = problem

    def within(self, place: str) -> FieldError:
        """Returns the error of a field in a table at `place`."""
        path = f"{place}.{self._field}" if self._field else place
        return FieldError(path, self._problem)


def as_table(body: JsonValue, name: str) -> dict[str, JsonValue]:
    """Returns `body` if it is a table.

    Raises:
        FieldError: It has another type.
    """
    if not isinstance(body, dict):
        raise FieldError(name, "is not a table")
    return body


def string(body: dict[str, JsonValue], name: str) -> str:
    """Returns a non-empty string field.

    Raises:
        FieldError: It is missing, empty or of another type.
    """
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(name, "is not a non-empty string")
    return value


def number(
    body: dict[str, JsonValue], name: str, default: float | None = None
) -> float:
    """Returns a non-negative number field.

    Raises:
        FieldError: It is missing without a default, or invalid.
    """
    value = body.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or value < 0
    ):
        raise FieldError(name, "is not a non-negative number")
    return value


def integer(
    body: dict[str, JsonValue], name: str, default: int | None = None
) -> int:
    """Returns a non-negative integer field.

    Raises:
        FieldError: It is missing without a default, or invalid.
    """
    value = number(body, name, default)
    if value > _MAX_INTEGER:
        raise FieldError(name, "is too large")
    if value != int(value):
        raise FieldError(name, "is not an integer")
    return int(value)


def boolean(body: dict[str, JsonValue], name: str) -> bool:
    """Returns a boolean field; False if it is missing.

    Raises:
        FieldError: It has another type.
    """
    value = body.get(name, False)
    if not isinstance(value, bool):
        raise FieldError(name, "is not a boolean")
    return value


def array(body: dict[str, JsonValue], name: str) -> list[JsonValue]:
    """Returns an array field.

    Raises:
        FieldError: It is missing or of another type.
    """
    value = body.get(name)
    if not isinstance(value, list):
        raise FieldError(name, "is not an array")
    return value


def decoded_table(
    body: dict[str, JsonValue],
    name: str,
    decode: Callable[[dict[str, JsonValue]], _DecodedT],
) -> _DecodedT:
    """Returns a decoded table field; errors state the path to the field.

    Raises:
        FieldError: It is missing, of another type or can't be decoded.
    """
    try:
        return decode(as_table(body.get(name), ""))
    except FieldError as error:
        raise error.within(name) from error


def decoded_array(
    body: dict[str, JsonValue],
    name: str,
    decode: Callable[[dict[str, JsonValue]], _DecodedT],
) -> tuple[_DecodedT, ...]:
    """Returns an array of decoded tables; errors state the path to the field.

    Raises:
        FieldError: It is missing, of another type or can't be decoded.
    """
    decoded = []
    for index, item in enumerate(array(body, name)):
        try:
            decoded.append(decode(as_table(item, "")))
        except FieldError as error:
            raise error.within(f"{name}[{index}]") from error
    return tuple(decoded)
