"""Passes requests to daemons that reach the servers, while this one doesn't."""

from __future__ import annotations

import enum

import result

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.forwarding import reach_monitor
from lavendershed.membership import peer_table
from lavendershed.membership import relay_peers
from lavendershed.routing import load_tracker
from lavendershed.transport import client
from lavendershed.transport import errors

# Names what the peer did with a request, in the head of its response.
RESULT_HEADER = "relay-result"
# Names what a refusal concerns. Earlier builds don't send it and refuse all
# requests.
REFUSAL_HEADER = "relay-refusal"
# Idle connections between daemons are closed by the server after this time.
IDLE_TIMEOUT = units.Seconds(15.0)
REUSE_PERIOD = units.Seconds(5.0)
# A daemon accepts relayed requests at the port after the one for its peers.
_PORT_OFFSET = 1
# Peers report each second; one that is silent for longer may be stopped.
_MAX_SILENCE = units.Seconds(1.6)
# A request whose last attempts found no connection is relayed although other
# servers may be in reach.
_MAX_UNSENT = 2


class RelayResult(enum.Enum):
    """What a daemon did with a relayed request; the values are sent."""

    REFUSED = "refused"
    WHOLE = "whole"
    STREAM = "stream"


class RefusalScope(enum.Enum):
    """Which relayed requests a daemon refuses; the values are sent."""

    ALL = "all"
    # The peer can't run this one, such as one for a service that only the
    # configuration of the sender has.
    REQUEST = "request"


def relay_address(peer: addresses.Address) -> addresses.Address:
    """Returns the address at which a daemon accepts relayed requests."""
    return addresses.Address(peer.host, peer.port + _PORT_OFFSET)


class RelayClient:
    """Chooses peers for requests and opens connections to them."""

    def __init__(
        self,
        zone: ids.AvailabilityZoneId,
        reach: reach_monitor.ReachMonitor,
        peers: peer_table.PeerTable,
        choice: relay_peers.RelayPeers,
        tracker: load_tracker.LoadTracker,
        peer_connections: connections.BackendConnectionPool,
        timer_service: timers.TimerService,
    ) -> None:
        self._zone = zone
        self._reach = reach
        self._peers = peers
        self._choice = choice
        self._load_tracker = tracker
        self._connections = peer_connections
        self._timers = timer_service

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon is cut off from all servers."""
        return self._reach.is_lost

    def select_peer(
        self, failed_peers: frozenset[addresses.Address], unsent_in_a_row: int
    ) -> addresses.Address | None:
        """Returns the peer that has to run a request.

        Args:
            failed_peers: Peers that failed the request.
            unsent_in_a_row: Last attempts that found no connection.

        Returns:
            None if this daemon runs it, or if no peer can help.
        """
        if not self.is_cut_off and unsent_in_a_row < _MAX_UNSENT:
            return None
        now = self._timers.now()
        candidates = [
            relay_peers.RelayPeer(*peer)
            for peer in self._peers.reaching_peers(
                units.Instant(now - _MAX_SILENCE)
            )
        ]
        return self._choice.choose(
            candidates,
            len(self._peers.zone_members(self._zone)),
            self._load_tracker.request_count,
            now,
            excluded=failed_peers,
        )

    async def connect(
        self, peer: addresses.Address, *, new_connection: bool
    ) -> result.Result[client.ClientConnection, errors.TransportError]:
        """Opens a connection for one request, or reuses one."""
        acquired = await self._connections.acquire(
            relay_address(peer), new_connection=new_connection
        )
        if isinstance(acquired, result.Err):
            self.on_failure(peer)
            return acquired
        self._choice.started(peer)
        return result.Ok(acquired.ok_value.connection)

    def disconnect(
        self,
        peer: addresses.Address,
        connection: client.ClientConnection,
        *,
        reusable: bool,
    ) -> None:
        """Ends the use of a connection that `connect` has returned."""
        self._choice.ended(peer)
        self._connections.release(
            relay_address(peer), connection, REUSE_PERIOD if reusable else None
        )

    def expire(self) -> None:
        """Closes idle connections that have expired."""
        self._connections.expire()

    def close(self) -> None:
        """Closes all idle connections."""
        self._connections.close()

    def on_failure(self, peer: addresses.Address) -> None:
        """Leaves a peer out for some time that did not answer."""
        self._choice.on_failure(peer, self._timers.now())
        self._connections.discard(relay_address(peer))
