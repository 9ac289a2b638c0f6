"""Servers that have sent nothing for longer than expected.

A server may pause for a second and go on. Silence is no sign of a loss, so that
it only changes where new work goes.
"""

from __future__ import annotations

from collections.abc import Collection

from lavendershed.core import ids
from lavendershed.core import units

# A server that was not used since is tried again after this time.
_MAX_AGE = units.Seconds(2.0)
# Servers that fall silent together have a common cause, such as a pause of
# their hosts. If more than this share of them is silent, avoiding them would
# overload the others.
_MAX_AVOIDED_SHARE = 0.25

ServerKey = tuple[ids.BackendServerId, ids.Incarnation]


class SilentServers:
    """Remembers the servers that are silent now."""

    def __init__(self) -> None:
        self._silent_since: dict[ServerKey, units.Instant] = {}

    def on_silent(self, server: ServerKey, now: units.Instant) -> None:
        """Records that a server has sent nothing for longer than expected."""
        self._silent_since = {
            other: since
            for other, since in self._silent_since.items()
            if now - since <= _MAX_AGE
        }
        self._silent_since[server] = now

    def on_answer(self, server: ServerKey) -> None:
        """Records that a server has sent a part of an answer."""
        self._silent_since.pop(server, None)

    def silent(
        self, servers: Collection[ServerKey], now: units.Instant
    ) -> frozenset[ids.BackendServerId]:
        """Returns which of some servers are silent."""
        return frozenset(
            server[0]
            for server in servers
            if (since := self._silent_since.get(server)) is not None
            and now - since <= _MAX_AGE
        )

    def avoided(
        self, servers: Collection[ServerKey], now: units.Instant
    ) -> frozenset[ids.BackendServerId]:
        """Returns the silent servers, or none if too many are silent."""
        if not self._silent_since:
            return frozenset()
        silent = self.silent(servers, now)
        if len(silent) > max(1, len(servers) * _MAX_AVOIDED_SHARE):
            return frozenset()
        return silent
