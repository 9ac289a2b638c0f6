"""Header fields as bytes.

A header value may contain any byte above 0x7F (obs-text, RFC 9110 section 5.5).
Values are decoded as Latin-1, which maps each byte to one character, so that
encoding them again restores the bytes.
"""

from __future__ import annotations

from collections.abc import Iterable

RawHeaders = list[tuple[bytes, bytes]]


def encode(headers: Iterable[tuple[str, str]]) -> RawHeaders:
    """Returns the names and values as the bytes to send.

    Raises:
        UnicodeEncodeError: A character is not a single byte in Latin-1.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers
    ]


def decode(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Returns the names and values of received header fields."""
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )
