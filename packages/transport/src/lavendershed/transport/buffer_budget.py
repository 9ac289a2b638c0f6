"""Memory for messages that are not complete.

Each message has a limit of its own, but many connections may be at their limits
at once. They share one budget, so that a process stays within its memory.
"""

from __future__ import annotations

from lavendershed.core import units

# Small messages are always accepted, so that floods on some connections don't
# end the usual requests on the others.
FREE_BYTES = units.Bytes(65_536)


class BufferBudget:
    """Bytes that the large messages of a process may hold together."""

    def __init__(self, limit: units.Bytes) -> None:
        self._limit = limit
        self._used = 0

    @property
    def used(self) -> units.Bytes:
        """Bytes in use beyond what each message holds freely."""
        return units.Bytes(self._used)

    def share(self) -> BufferShare:
        """Returns the share of one message, which is empty at first."""
        return BufferShare(self)

    def exchange(self, previous: int, size: int) -> bool:
        """Replaces a used size; returns False if there is no room."""
        if self._used - previous + size > self._limit and size > previous:
            return False
        self._used += size - previous
        return True


class BufferShare:
    """What one message holds of a budget, until it is released."""

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._charged = 0

    def resize(self, size: int) -> bool:
        """Sets the size of the message; returns False if there is no room."""
        charged = max(0, size - FREE_BYTES)
        if charged == self._charged:
            return True
        if not self._budget.exchange(self._charged, charged):
            return False
        self._charged = charged
        return True

    def release(self) -> None:
        """Gives everything back."""
        self.resize(0)
