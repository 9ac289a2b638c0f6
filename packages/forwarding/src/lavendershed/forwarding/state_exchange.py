"""Exchange of store objects between daemons.

A daemon that doesn't watch the store, or can't reach it, fetches the
configuration and changes of the server list from a peer that has newer ones.
"""

from __future__ import annotations

import asyncio
import socket

import result

from lavendershed.core import addresses
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import peer_versions
from lavendershed.forwarding import store_watch_role
from lavendershed.peer import frames
from lavendershed.peer import peer_state
from lavendershed.peer import wire
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import unexpected_errors
from lavendershed.transport import streams

_MAX_STATE = units.Bytes(16_000_000)
_EXCHANGE_TIMEOUT = units.Seconds(1.5)
_CHECK_INTERVAL = units.Seconds(0.2)
# Requests wait for the first configuration of a daemon that has just started.
_FIRST_CHECK_INTERVAL = units.Seconds(0.05)
# Updates from the store arrive within milliseconds; a daemon whose state is
# still stale after this time asks a peer.
_MAX_STALENESS = units.Seconds(0.3)
# Daemons that don't watch the store are told of changes by reports.
_MAX_STALENESS_WITHOUT_WATCH = units.Seconds(0.0)
# A daemon of another zone is asked after this time without a newer peer in the
# own zone, since bytes between zones are billed.
_MAX_STALENESS_IN_ZONE = units.Seconds(0.6)
# A daemon that lacks known changes for this long asks the store, since changes
# have to take effect within two seconds.
_MAX_STALENESS_WITHOUT_STORE = units.Seconds(0.9)
_STORE_WATCH_TIME = units.Seconds(3.0)


class StateServer:
    """Sends newer store objects to each daemon that requests them."""

    def __init__(
        self,
        view: deployment_view.DeploymentView,
        timer_service: timers.TimerService,
    ) -> None:
        self._view = view
        self._timers = timer_service
        self._server: asyncio.Server | None = None

    async def start(self, address: addresses.Address) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        listener = socket.create_server((address.host, address.port))
        listener.setblocking(False)
        self._server = await asyncio.start_server(
            self._serve_connection, sock=listener
        )

    def close(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(_EXCHANGE_TIMEOUT):
                request = await frames.read_frame(reader, frames.MAX_CALL_BYTES)
                known = peer_state.decode_state_request(request or b"")
                if known is not None:
                    state = self._view.state_since(known, self._timers.now())
                    encoded = peer_state.encode_state(state)
                    writer.write(frames.encode_frame(encoded))
                    await writer.drain()
        except (OSError, TimeoutError, *wire.DECODE_ERRORS):
            # The peer disconnected or hangs; it retries here or with a peer.
            writer.transport.abort()
        finally:
            writer.close()


async def fetch_state(
    address: addresses.Address, known: peer_state.KnownState
) -> result.Result[peer_state.PeerState, str]:
    """Returns the newer store objects of the daemon at `address`.

    Args:
        address: Address of the daemon.
        known: What this daemon has.
    """
    opened = await streams.open_streams(address, _EXCHANGE_TIMEOUT)
    if isinstance(opened, result.Err):
        return result.Err(opened.err_value.detail)
    reader, writer = opened.ok_value
    reader.expect_body()
    try:
        async with asyncio.timeout(_EXCHANGE_TIMEOUT):
            request = peer_state.encode_state_request(known)
            writer.write(frames.encode_frame(request))
            encoded_state = await frames.read_frame(reader, _MAX_STATE)
        if encoded_state is None:
            return result.Err("state response truncated")
        return result.Ok(peer_state.decode_state(encoded_state))
    except (OSError, TimeoutError, *wire.DECODE_ERRORS) as error:
        return result.Err(repr(error))
    finally:
        writer.transport.abort()


class StateFetcher:
    """Fetches objects from a peer while the local ones are older."""

    def __init__(
        self,
        versions: peer_versions.PeerVersions,
        view: deployment_view.DeploymentView,
        store_role: store_watch_role.StoreWatchRole,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        errors: unexpected_errors.ErrorRecorder,
    ) -> None:
        self._versions = versions
        self._view = view
        self._store_role = store_role
        self._timers = timer_service
        self._log = event_log
        self._errors = errors
        self._stale_since: units.Instant | None = None

    async def run(self) -> None:
        """Compares versions and fetches newer objects until cancelled."""
        while True:
            await asyncio.sleep(
                _CHECK_INTERVAL
                if self._view.complete
                else _FIRST_CHECK_INTERVAL
            )
            try:
                await self._check()
            except Exception as error:  # noqa: BLE001
                # What one peer sends may end nothing but its own exchange.
                self._errors.record("peer_state", error)

    async def _check(self) -> None:
        """Compares versions once."""
        now = self._timers.now()
        self._view.expire(now)
        if self._newer_peer(in_zone=False) is None:
            self._stale_since = None
            return
        if self._stale_since is None:
            self._stale_since = now
        await self._catch_up(units.elapsed(self._stale_since, now))

    async def _catch_up(self, staleness: units.Seconds) -> None:
        """Fetches newer objects, or has them fetched from the store."""
        if staleness < self._max_staleness:
            return
        if staleness >= _MAX_STALENESS_WITHOUT_STORE:
            self._store_role.require(_STORE_WATCH_TIME)
        address = self._newer_peer(in_zone=True)
        if address is None and (
            staleness >= _MAX_STALENESS_IN_ZONE or not self._view.complete
        ):
            address = self._newer_peer(in_zone=False)
        if address is not None:
            await self._fetch_from(address)

    @property
    def _max_staleness(self) -> units.Seconds:
        if self._store_role.is_watching and self._view.complete:
            return _MAX_STALENESS
        return _MAX_STALENESS_WITHOUT_WATCH

    def _newer_peer(self, *, in_zone: bool) -> addresses.Address | None:
        """Returns a peer with newer objects than this daemon, if any."""
        newest = self._versions.newest(in_zone=in_zone)
        version, peer = newest.configuration
        if version > self._view.version:
            return peer
        revision, peer = newest.evacuations
        evacuations = self._view.evacuations
        if evacuations.expected and revision > evacuations.known_revision:
            return peer
        # Revisions also grow with changes of other objects, so that a higher
        # one matters only if this daemon doesn't see all changes itself.
        if not self._store_role.needs_peers:
            return None
        revision, peer = newest.servers
        return peer if revision > self._view.directory.revision else None

    async def _fetch_from(self, address: addresses.Address) -> None:
        newest_known = self._versions.newest(in_zone=False).configuration[0]
        fetched = await fetch_state(address, self._view.known_state)
        if isinstance(fetched, result.Err):
            self._versions.on_unreachable(address)
            self._log.emit(
                events.Event.PEER_STATE_FAILED,
                peer=str(address),
                reason=fetched.err_value,
                version=self._view.version,
                newest_known=newest_known,
            )
            return
        state = fetched.ok_value
        previous = self._view.known_state
        if (
            self._store_role.needs_peers
            or not self._view.directory.is_initialised
        ):
            self._view.on_peer_state(state, self._timers.now())
        else:
            self._view.on_peer_settings(state, self._timers.now())
        if self._view.known_state != previous:
            # A newer change that arrives meanwhile is no sign of an outage.
            self._stale_since = None
        elif not state.configuration:
            # It knows less than it has reported, for example after a restart.
            self._versions.on_unreachable(address)
        self._log.emit(
            events.Event.PEER_STATE_TAKEN,
            peer=str(address),
            version=self._view.version,
            previous=previous.version,
            newest_known=newest_known,
            era=self._view.directory.revision.era,
            revision=self._view.directory.revision.number,
            servers=len(state.servers) + len(state.removed_servers),
            evacuated=len(self._view.evacuations.evacuations.zones),
        )
