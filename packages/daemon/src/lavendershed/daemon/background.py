"""Background tasks of the router."""

from __future__ import annotations

import abc


class BackgroundTask(abc.ABC):
    """A loop that runs concurrently with requests."""

    @property
    def log_name(self) -> str:
        """Name of the task in log events."""
        return type(self).__name__

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until cancelled.

        External errors are handled inside. An exception that leaves this
        method is a broken invariant and stops the process.
        """

    async def release(self) -> None:
        """Releases the resources of the task during a graceful stop."""

    def status(self) -> dict[str, object]:
        """Returns entries for the daemon's status response."""
        return {}
