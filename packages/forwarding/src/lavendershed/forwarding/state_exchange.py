"""Exchange of store objects between daemons.

A daemon that can't reach the store fetches the configuration and the server
list from a peer that has newer ones.
"""

from __future__ import annotations

import asyncio
import socket

import result

from lavendershed.core import addresses
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import load_reporting
from lavendershed.forwarding import store_watcher
from lavendershed.membership import peer_table
from lavendershed.peer import frames
from lavendershed.peer import load_reports
from lavendershed.peer import wire
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import streams

_MAX_STATE = units.Bytes(16_000_000)
_EXCHANGE_TIMEOUT = units.Seconds(1.0)
_CHECK_INTERVAL = units.Seconds(0.2)
# Updates from the store arrive within milliseconds; a daemon whose state is
# still stale after this time asks a peer.
_MAX_STALENESS = units.Seconds(0.3)
_REQUEST = b"state"


class StateServer:
    """Sends all known store objects to each daemon that requests them."""

    def __init__(self, view: deployment_view.DeploymentView) -> None:
        self._view = view
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
                if request == _REQUEST:
                    state = load_reports.encode_state(self._view.state)
                    writer.write(frames.encode_frame(state))
                    await writer.drain()
        except (OSError, TimeoutError):
            # The peer disconnected or hangs; it retries here or with a peer.
            writer.transport.abort()
        finally:
            writer.close()


async def fetch_state(
    address: addresses.Address,
) -> result.Result[load_reports.PeerState, str]:
    """Returns the store objects known to the daemon at `address`."""
    opened = await streams.open_streams(address, _EXCHANGE_TIMEOUT)
    if isinstance(opened, result.Err):
        return result.Err(opened.err_value.detail)
    reader, writer = opened.ok_value
    try:
        async with asyncio.timeout(_EXCHANGE_TIMEOUT):
            writer.write(frames.encode_frame(_REQUEST))
            encoded_state = await frames.read_frame(reader, _MAX_STATE)
        if encoded_state is None:
            return result.Err("state response truncated")
        return result.Ok(load_reports.decode_state(encoded_state))
    except (OSError, TimeoutError, *wire.DECODE_ERRORS) as error:
        return result.Err(repr(error))
    finally:
        writer.transport.abort()


class StateFetcher:
    """Fetches objects from a peer while the local ones are older."""

    def __init__(
        self,
        peers: peer_table.PeerTable,
        versions: load_reporting.PeerVersions,
        view: deployment_view.DeploymentView,
        store_availability: store_watcher.StoreAvailability,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._peers = peers
        self._versions = versions
        self._view = view
        self._store_availability = store_availability
        self._timers = timer_service
        self._log = event_log
        self._stale_since: units.Instant | None = None

    async def run(self) -> None:
        """Compares versions and fetches newer objects until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            now = self._timers.now()
            self._view.expire(now)
            address = self._newer_peer()
            if address is None:
                self._stale_since = None
                continue
            if self._stale_since is None:
                self._stale_since = now
            if now - self._stale_since >= _MAX_STALENESS:
                await self._fetch_from(address)
                self._stale_since = None

    def _newer_peer(self) -> addresses.Address | None:
        version, peer = self._versions.configuration
        if version > self._view.version:
            return peer
        # Revisions also grow with changes of other objects, so that a higher
        # one matters only if this daemon can't reach the store.
        if not self._store_availability.unavailable:
            return None
        revision, peer = self._versions.servers
        return peer if revision > self._view.directory.revision else None

    async def _fetch_from(self, address: addresses.Address) -> None:
        fetched = await fetch_state(address)
        if isinstance(fetched, result.Err):
            self._log.emit(
                events.Event.PEER_STATE_FAILED,
                peer=str(address),
                reason=fetched.err_value,
            )
            return
        state = fetched.ok_value
        for stored in state.configuration:
            self._view.on_configuration(stored)
        if (
            not self._view.directory.is_initialised
            or self._store_availability.unavailable
        ):
            self._view.on_server_listing(
                state.servers, state.server_revision, self._timers.now()
            )
        self._log.emit(
            events.Event.PEER_STATE_TAKEN,
            peer=str(address),
            version=self._view.version,
            revision=self._view.directory.revision,
        )
