"""Health of backend servers, from all sources that report it."""

from __future__ import annotations

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states


class BackendHealth:
    """Which backend servers may get new work.

    Any source that says that a server is leaving stops new work at once.
    """

    def __init__(self) -> None:
        self._leaving: set[ids.BackendServerId] = set()
        self._reserved: set[ids.BackendServerId] = set()

    def accepts_work(self, server: ids.BackendServerId) -> bool:
        """Returns whether new work may be sent to a server."""
        return server not in self._leaving and server not in self._reserved

    def on_load_report(
        self,
        server: ids.BackendServerId,
        report: backend_servers.LoadReport,
    ) -> None:
        """Takes the state that an engine reports of itself."""
        if report.leaving:
            self._leaving.add(server)
        # Placement drains an engine by the role `reserve`.
        if report.role is states.EngineRole.RESERVE:
            self._reserved.add(server)
        else:
            self._reserved.discard(server)

    def on_error(
        self,
        server: ids.BackendServerId,
        error: backend_servers.BackendError,
    ) -> None:
        """Takes a failed call."""
        if error.leaving:
            self._leaving.add(server)

    def on_success(self, server: ids.BackendServerId) -> None:
        """Takes a call that the server answered."""
