"""Typed access to members of untrusted JSON documents."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Exceptions that reading a malformed document raises; callers convert them to
# protocol errors.
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def string(content: Mapping[str, Any], name: str) -> str:
    """Returns a string member.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is not an object or the member is not a string.
    """
    value = content[name]
    if type(value) is not str:
        raise TypeError(f"member {name} is not a string")
    return value


def non_negative_integer(content: Mapping[str, Any], name: str) -> int:
    """Returns a non-negative integer member.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is not an object or the member is not a
            non-negative integer.
    """
    value = content[name]
    if type(value) is not int or value < 0:
        raise TypeError(f"member {name} is not a non-negative integer")
    return value


def boolean(content: Mapping[str, Any], name: str) -> bool:
    """Returns a boolean member.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is not an object or the member is not a boolean.
    """
    value = content[name]
    if type(value) is not bool:
        raise TypeError(f"member {name} is not a boolean")
    return value


def integers(content: Mapping[str, Any], name: str) -> tuple[int, ...]:
    """Returns a member of type list of integers.

    Raises:
        KeyError: The member is missing.
        TypeError: The document is not an object or the member is not such a
            list.
    """
    values = content[name]
    if type(values) is not list or any(type(v) is not int for v in values):
        raise TypeError(f"member {name} is not a list of integers")
    return tuple(values)


def strings(content: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Returns a member of type list of strings; empty if absent.

    Raises:
        TypeError: The document is not an object or the member is not such a
            list.
    """
    values = content.get(name, [])
    if type(values) is not list or any(type(v) is not str for v in values):
        raise TypeError(f"member {name} is not a list of strings")
    return tuple(values)
