"""Typed access to members of JSON documents from outside."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# What reading a document of any shape can raise; adapters turn these into
# protocol errors.
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def string(content: Mapping[str, Any], name: str) -> str:
    """Returns a string member.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is no object, or the member is no string.
    """
    value = content[name]
    if type(value) is not str:
        raise TypeError(f"member {name} is not a string")
    return value


def non_negative_integer(content: Mapping[str, Any], name: str) -> int:
    """Returns a member that is an integer and not negative.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is no object, or the member is no such number.
    """
    value = content[name]
    if type(value) is not int or value < 0:
        raise TypeError(f"member {name} is not a natural number")
    return value


def boolean(content: Mapping[str, Any], name: str) -> bool:
    """Returns a boolean member.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is no object, or the member is no boolean.
    """
    value = content[name]
    if type(value) is not bool:
        raise TypeError(f"member {name} is not a boolean")
    return value


def integers(content: Mapping[str, Any], name: str) -> tuple[int, ...]:
    """Returns a member that is a list of integers.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is no object, or the member is no such list.
    """
    values = content[name]
    if type(values) is not list or any(type(v) is not int for v in values):
        raise TypeError(f"member {name} is not a list of integers")
    return tuple(values)


def strings(content: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Returns a member that is a list of strings; absent means empty.

    Raises:
        TypeError: The document is no object, or the member is no such list.
    """
    values = content.get(name, [])
    if type(values) is not list or any(type(v) is not str for v in values):
        raise TypeError(f"member {name} is not a list of strings")
    return tuple(values)
