"""Decimal numbers in bytes from outside."""

from __future__ import annotations

# The largest number of this length fits into 64 bits.
MAX_DIGITS = 18


def parse(text: str | bytes) -> int | None:
    """Returns the number that `text` is, or None if it is none.

    `str.isdigit` alone accepts digits that `int` refuses, such as U+00B2, and
    `int` refuses thousands of digits.

    Args:
        text: ASCII digits, at most `MAX_DIGITS`, without a sign or blanks.
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)
