"""Text delivered to a caller, kept for failover to another engine."""

from __future__ import annotations

from lavendershed.core import backend_servers

# Encoded events take about twelve times the memory of their text. They are
# decoded in batches, so that a stream keeps few of them and decoding is rare.
_MAX_ENCODED_EVENTS = 1_024
_MAX_CHARACTERS = 2_000_000


class DeliveredText:
    """Collects the delivered text, up to a memory limit.

    A response beyond the limit can still be resumed on its engine, but can't
    be continued on another engine.
    """

    def __init__(self) -> None:
        self._events: list[bytes] = []
        self._decoded_parts: list[str] = []
        self._characters = 0
        self._complete = True

    @property
    def complete(self) -> bool:
        """Whether the complete delivered text is available."""
        return self._complete

    def add(
        self, events: tuple[bytes, ...], client: backend_servers.ModelEngine
    ) -> None:
        """Adds delivered events, in the encoding of `client`."""
        if not self._complete:
            return
        self._events.extend(events)
        if len(self._events) >= _MAX_ENCODED_EVENTS:
            self.decode(client)

    def decode(self, client: backend_servers.ModelEngine) -> None:
        """Decodes the collected events into text."""
        if not self._events:
            return
        text = client.decode_text(tuple(self._events))
        self._events.clear()
        self._decoded_parts.append(text)
        self._characters += len(text)
        if self._characters > _MAX_CHARACTERS:
            self._complete = False
            self._decoded_parts.clear()

    def text(self) -> str:
        """Returns the decoded text; call `decode` first."""
        return "".join(self._decoded_parts)
