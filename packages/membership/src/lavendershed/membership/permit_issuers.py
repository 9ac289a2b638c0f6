"""Choice of the daemon that issues the permits of a limited server."""

from __future__ import annotations

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import rendezvous
from lavendershed.membership import peer_table

# The issuer and its standby.
_ISSUERS_PER_SERVER = 2


class PermitIssuers:
    """Issuers of each server by rendezvous hashing over the live daemons.

    Daemons with the same members agree without a message, and the end of a
    daemon moves only the servers that it issued for.
    """

    def __init__(
        self, own_address: addresses.Address, peers: peer_table.PeerTable
    ) -> None:
        self._own_address = own_address
        self._peers = peers
        self._members: tuple[addresses.Address, ...] = ()
        self._by_server: dict[
            ids.ServerNumber, tuple[addresses.Address, ...]
        ] = {}

    @property
    def is_fallback(self) -> bool:
        """Whether this daemon is one of the configured addresses."""
        return self._own_address in self._peers.configured_seeds

    def fallback_issuers(
        self, server: ids.ServerNumber
    ) -> tuple[addresses.Address, ...]:
        """Returns the daemons to ask if neither issuer nor standby issues.

        All daemons have the same few seeds, also before they know each other.
        """
        by_name = {str(a): a for a in self._peers.configured_seeds}
        return tuple(
            by_name[name]
            for name in rendezvous.ranked(by_name, str(server), len(by_name))
        )

    def issuers(
        self, server: ids.ServerNumber
    ) -> tuple[addresses.Address, ...]:
        """Returns the issuer of a server and its standby, if there is one."""
        members = self._peers.live_peers
        if members != self._members:
            self._members = members
            self._by_server.clear()
        found = self._by_server.get(server)
        if found is None:
            by_name = {str(a): a for a in (*members, self._own_address)}
            names = rendezvous.ranked(by_name, str(server), _ISSUERS_PER_SERVER)
            found = tuple(by_name[name] for name in names)
            self._by_server[server] = found
        return found
