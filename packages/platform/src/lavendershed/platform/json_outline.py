"""Outline of a JSON document: where its parts begin and end.

A parser refuses a whole document because of one part that is nested too deeply
or has a number that is too large. The other parts can be parsed one by one.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import re

# An answer of the store has a table, an array, an event, an object and its
# members. What is nested deeper belongs to one member.
MAX_DEPTH = 4
# Parts of one container that are told apart; one with more can't be read.
MAX_PARTS = 20_000
# Tokens and bytes that are scanned in one step, which takes a few milliseconds.
_TOKENS_PER_STEP = 5_000
_BYTES_PER_STEP = 1_000_000
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_TOKEN = re.compile(rb'[^\[\]{},"]*+(' + _STRING + rb'|[\[\]{},"])', re.DOTALL)
# Below the depth of the outline only strings and brackets matter, and brackets
# in a row are one token.
_DEEP_TOKEN = re.compile(
    rb'[^\[\]{}"]*+(' + _STRING + rb'|[\[{]++|[\]}]++|")', re.DOTALL
)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)
_OPENING = frozenset(b"[{")
_CLOSING_OF = {ord("["): ord("]"), ord("{"): ord("}")}
_COMMA = ord(",")
_QUOTE = ord('"')


@dataclasses.dataclass(slots=True)
class Part:
    """What stands between two commas.

    Attributes:
        start: Where it begins.
        end: Where it ends.
        container: The array or object that it is or has as its value, if any,
            down to the depth of the outline.
    """

    start: int
    end: int
    container: Container | None


@dataclasses.dataclass(slots=True)
class Container:
    """An array or an object.

    Attributes:
        opening: Its first byte.
        parts: Its elements or members.
        readable: Whether its parts are known.
    """

    opening: int
    parts: list[Part] = dataclasses.field(default_factory=list)
    readable: bool = True

    @property
    def is_array(self) -> bool:
        """Whether it is an array, and no object."""
        return self.opening == ord("[")


class Outline:
    """Finds the containers of a document in one pass over its bytes."""

    def __init__(self, document: bytes) -> None:
        self._document = document
        self._open: list[Container] = []
        # Start of the current part of each open container, and the container
        # in this part.
        self._starts: list[int] = []
        self._nested: list[Container | None] = []
        self._depth = 0
        self._root: Container | None = None

    @property
    def root(self) -> Container:
        """The container that the document is; valid after all steps.

        Raises:
            ValueError: The steps are not complete.
        """
        if self._root is None:
            raise ValueError("document is not complete")
        return self._root

    def steps(self) -> Iterator[None]:
        """Scans the document in steps of a few milliseconds.

        Raises:
            ValueError: The document is no array or object, or not complete.
        """
        document = self._document
        position = len(document) - len(document.lstrip())
        if document[position : position + 1] not in (b"[", b"{"):
            raise ValueError("document is no array or object")
        while self._root is None:
            end = position + _BYTES_PER_STEP
            for _ in range(_TOKENS_PER_STEP):
                position = self._scan_token(position)
                if self._root is not None or position > end:
                    break
            yield
        if document[position:].strip():
            raise ValueError("document has bytes after its end")

    def key(self, part: Part) -> tuple[bytes, bytes]:
        """Returns the encoded key and value of a member.

        Raises:
            ValueError: The part has no key.
        """
        match = _KEY.match(self._document, part.start, part.end)
        if match is None:
            raise ValueError("object has a member without a key")
        return match[1], self._document[match.end() : part.end]

    def text(self, part: Part) -> bytes:
        """Returns the bytes of a part."""
        return self._document[part.start : part.end]

    def _scan_token(self, position: int) -> int:
        """Handles the next token; returns where it ends."""
        deep = self._depth > MAX_DEPTH
        token = (_DEEP_TOKEN if deep else _TOKEN).match(
            self._document, position
        )
        if token is None:
            raise ValueError("document is not complete")
        start, end = token.span(1)
        first = self._document[start]
        length = end - start
        if first == _QUOTE:
            if length == 1:
                raise ValueError("document has a string without an end")
            return end
        if deep:
            if first in _OPENING:
                self._depth += length
                return end
            closed = min(length, self._depth - MAX_DEPTH)
            self._depth -= closed
            return start + closed
        if first in _OPENING:
            self._on_opening(first, start)
        elif first == _COMMA:
            self._end_part(start)
        else:
            self._on_closing(first, start)
        return end

    def _on_opening(self, opening: int, position: int) -> None:
        self._depth += 1
        if self._depth > MAX_DEPTH:
            return
        container = Container(opening)
        if self._nested:
            self._nested[-1] = container
        self._open.append(container)
        self._starts.append(position + 1)
        self._nested.append(None)

    def _end_part(self, position: int) -> None:
        container = self._open[-1]
        if len(container.parts) >= MAX_PARTS:
            container.readable = False
        else:
            container.parts.append(
                Part(self._starts[-1], position, self._nested[-1])
            )
        self._starts[-1] = position + 1
        self._nested[-1] = None

    def _on_closing(self, closing: int, position: int) -> None:
        container = self._open[-1]
        if _CLOSING_OF[container.opening] != closing:
            raise ValueError("document has brackets that don't match")
        if (
            container.parts
            or self._document[self._starts[-1] : position].strip()
        ):
            self._end_part(position)
        self._open.pop()
        self._starts.pop()
        self._nested.pop()
        self._depth -= 1
        if not self._open:
            self._root = container
