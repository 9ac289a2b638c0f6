"""Division of JSON into its parts without parsing them.

A parser refuses a whole document because of one part that is nested too deeply
or has a number that is too large. The other parts can be parsed one by one.
"""

from __future__ import annotations

from collections.abc import Iterator
import re

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:"]', re.DOTALL)
_OPENING = frozenset(b"[{")
_CLOSING = frozenset(b"]}")


def elements(array: bytes) -> list[bytes]:
    """Returns the elements of an array as they are encoded.

    Raises:
        ValueError: The bytes are no complete array.
    """
    return [part for part in _parts(array, b"[", b"]") if part]


def members(table: bytes) -> dict[bytes, bytes]:
    """Returns the values of an object as they are encoded, by encoded key.

    Raises:
        ValueError: The bytes are no complete object.
    """
    found: dict[bytes, bytes] = {}
    for part in _parts(table, b"{", b"}"):
        if not part:
            continue
        key = _TOKEN.match(part)
        if key is None or part[key.end() :].lstrip()[:1] != b":":
            raise ValueError("object has a member without a key")
        found[key[0]] = part[key.end() :].lstrip()[1:].strip()
    return found


def _parts(container: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """Yields what stands between the commas of an array or object."""
    container = container.strip()
    if container[:1] != opening or container[-1:] != closing:
        raise ValueError("is not the expected container")
    depth = 0
    start = 1
    for token in _TOKEN.finditer(container):
        first = token[0][0]
        if token[0] == b'"':
            raise ValueError("has a string without an end")
        if first in _OPENING:
            depth += 1
        elif first in _CLOSING:
            depth -= 1
            if depth == 0:
                if token.end() != len(container):
                    raise ValueError("has bytes after its end")
                yield container[start : token.start()].strip()
        elif token[0] == b"," and depth == 1:
            yield container[start : token.start()].strip()
            start = token.end()
    if depth:
        raise ValueError("is not complete")
