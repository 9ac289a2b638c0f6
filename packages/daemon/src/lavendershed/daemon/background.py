"""Background work of the router."""

from __future__ import annotations

import abc


class BackgroundTask(abc.ABC):
    """A loop that runs beside the requests."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until cancelled.

        Errors of the outside world are handled inside; an exception that
        leaves this method is a broken invariant and stops the process.
        """

    async def release(self) -> None:
        """Gives back what the task holds; called during a graceful stop."""

    def status(self) -> dict[str, object]:
        """Returns entries for the status page of the daemon."""
        return {}
