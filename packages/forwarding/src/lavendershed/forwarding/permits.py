"""Permits for requests to servers that limit them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

from lavendershed.admission import cold_engines
from lavendershed.admission import engine_limits
from lavendershed.admission import permit_allocator
from lavendershed.admission import request_limits
from lavendershed.admission import server_pauses
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import bundle_distribution
from lavendershed.membership import permit_issuers
from lavendershed.membership import server_directory
from lavendershed.membership import visible_fleet
from lavendershed.peer import load_reports
from lavendershed.peer import permit_messages
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments

# A reply takes some milliseconds, also between availability zones. Requests
# wait for it, and short ones have 300 ms until their first token.
_REPLY_TIMEOUT = units.Seconds(0.05)
# A daemon that has not replied is not asked again for this time.
_SILENCE_PERIOD = units.Seconds(1.0)
# A server without an issuer that replies is not chosen for this time.
_UNANSWERED_WAIT = units.Seconds(0.5)
# A daemon knows the others some report intervals after its start. Until then it
# would take itself for the issuer of servers that others issue for.
_MEMBERSHIP_SETTLING_TIME = units.Seconds(2.0)
# Until then, a daemon that all others know from their settings issues this
# share of the limit of a cold engine. There are three of these at most, and all
# are asked in the same order.
_SETTLING_SHARE = 0.25
_SETTLING_BURST = 2.0


class PermitClient:
    """Asks the issuers of limited servers for permits, and issues its own.

    A server without a limit needs no permit.
    """

    def __init__(
        self,
        own_address: addresses.Address,
        limits: engine_limits.EngineLimits,
        cold: cold_engines.ColdEngines,
        issuers: permit_issuers.PermitIssuers,
        fleet: visible_fleet.VisibleFleet,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        instruments: request_instruments.RequestInstruments,
        pauses: server_pauses.ServerPauses | None = None,
    ) -> None:
        self._pauses = pauses or server_pauses.ServerPauses()
        self._own_address = own_address
        self._named_limits = limits
        self._cold = cold
        self._limits = request_limits.LowestLimits((limits, cold))
        self._issuers = issuers
        self._fleet = fleet
        self._timers = timer_service
        self._log = event_log
        self._instruments = instruments
        self._allocator = permit_allocator.PermitAllocator()
        self._unsettled_allocator = permit_allocator.PermitAllocator()
        self._issues_from = units.after(
            timer_service.now(), _MEMBERSHIP_SETTLING_TIME
        )
        self._send: bundle_distribution.SendDatagram | None = None
        self._call_numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[units.Seconds | None]] = {}
        # When a server may be chosen again that has no permit now.
        self._denied_until: dict[ids.ServerNumber, units.Instant] = {}
        self._silent_until: dict[addresses.Address, units.Instant] = {}

    def start(self, send: bundle_distribution.SendDatagram) -> None:
        """Sends datagrams with `send` from now on."""
        self._send = send

    def is_limited(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a request to a server needs a permit."""
        return self._limit(_number(server)) is not None

    def is_cold(self, server: server_directory.ServerEntry) -> bool:
        """Returns whether a server may be cold."""
        return self._cold.is_cold(_number(server), self._timers.now())

    def available_at(
        self, server: server_directory.ServerEntry
    ) -> units.Instant:
        """Returns when a server may be chosen; a past time if it may now."""
        number = _number(server)
        pause_ends_at = self._pauses.ends_at(number)
        if self._limit(number) is None:
            return pause_ends_at
        denied_until = self._denied_until.get(number, pause_ends_at)
        return max(pause_ends_at, denied_until)

    def available_servers(
        self, servers: Iterable[server_directory.ServerEntry]
    ) -> tuple[server_directory.ServerEntry, ...]:
        """Returns the servers that may be chosen now."""
        now = self._timers.now()
        return tuple(s for s in servers if self.available_at(s) <= now)

    def candidates(
        self,
        servers: tuple[server_directory.ServerEntry, ...],
        failed: frozenset[ids.BackendServerId],
    ) -> tuple[server_directory.ServerEntry, ...]:
        """Returns the servers that one request may be sent to now.

        If only servers that have failed it are left because the others have
        no permit now, it has to wait for these.

        Args:
            servers: Servers that accept new requests.
            failed: Servers that have failed the request.
        """
        available = self.available_servers(servers)
        if len(available) < len(servers) and failed.issuperset(
            server.id for server in available
        ):
            return ()
        return available

    def wait_time(
        self,
        servers: Iterable[server_directory.ServerEntry],
        failed: frozenset[ids.BackendServerId] = frozenset(),
    ) -> units.Seconds:
        """Returns the time until the first of some servers may be chosen.

        Args:
            servers: The servers.
            failed: Servers that count only if there are no others.
        """
        now = self._timers.now()
        others = [s for s in servers if s.id not in failed]
        earliest = min(map(self.available_at, others or servers), default=now)
        return units.Seconds(max(0.0, earliest - now))

    def log_fields(
        self, server: server_directory.ServerEntry
    ) -> dict[str, log.LogValue]:
        """Returns who issues the permits of a limited server, for logs."""
        if not self.is_limited(server):
            return {}
        return {
            "permit_issuer": str(self._issuers.issuers(_number(server))[0]),
            "fleet_share": round(self._fleet.share, 3),
        }

    async def acquire(
        self, servers: Iterable[server_directory.ServerEntry]
    ) -> frozenset[ids.BackendServerId]:
        """Gets a permit for one request to each of the servers.

        Returns:
            The servers that have none to give; they may not be chosen for some
            time.
        """
        limited = [server for server in servers if self.is_limited(server)]
        if not limited:
            return frozenset()
        waits = await asyncio.gather(*map(self._request_permit, limited))
        return frozenset(
            server.id
            for server, wait in zip(limited, waits, strict=True)
            if wait
        )

    def on_datagram(
        self, datagram: bytes, source: addresses.Address, now: units.Instant
    ) -> None:
        """Handles a call or a reply of another daemon.

        Raises:
            Exception: One of `wire.DECODE_ERRORS`.
        """
        message = permit_messages.decode(datagram)
        if isinstance(message, permit_messages.PermitCall):
            self._on_call(message, source, now)
            return
        reply = self._replies.get(message.call)
        if reply is not None and not reply.done():
            reply.set_result(message.wait)

    def _on_call(
        self,
        call: permit_messages.PermitCall,
        source: addresses.Address,
        now: units.Instant,
    ) -> None:
        # A report of the limit may have been lost.
        if call.rate is not None:
            observed_at = units.Instant(now - call.limit_age)
            self._named_limits.on_peer_news(
                call.server, engine_limits.LimitNews(call.rate, observed_at)
            )
        if call.cold is not None:
            self._cold.on_peer_news(call.server, call.cold, now)
        wait = self._issue(call.server, now, as_standby=call.as_standby)
        reply = permit_messages.PermitReply(call.call, wait)
        if self._send is not None:
            self._send(permit_messages.encode_reply(reply), (source,))

    def _issue(
        self,
        server: ids.ServerNumber,
        now: units.Instant,
        *,
        as_standby: bool,
    ) -> units.Seconds | None:
        """Returns the time to wait, 0 for a permit, None if it issues none."""
        limit = self._limit(server)
        if now < self._issues_from:
            if limit is None or limit.burst is None or not as_standby:
                return None
            return self._issue_unsettled(server, limit, now)
        if limit is None:
            return units.Seconds(0.0)
        if limit.burst is not None:
            # Callers that know other members may ask two daemons as issuers. A
            # cold engine bears two for less than a second.
            issuer = self._issuers.issuers(server)[0]
            as_standby = issuer != self._own_address
        rate = units.RequestsPerSecond(limit.rate * self._fleet.share)
        return self._allocator.request(
            server, rate, now, as_standby=as_standby, burst=limit.burst
        )

    def _issue_unsettled(
        self,
        server: ids.ServerNumber,
        limit: request_limits.RequestLimit,
        now: units.Instant,
    ) -> units.Seconds | None:
        """Issues permits while this daemon may not know the others yet.

        Otherwise cold engines would get nothing after a restart of all daemons,
        and there may be no others.
        """
        if not self._issuers.is_fallback:
            return None
        return self._unsettled_allocator.request(
            server,
            units.RequestsPerSecond(limit.rate * _SETTLING_SHARE),
            now,
            as_standby=False,
            burst=_SETTLING_BURST,
        )

    def _limit(
        self, server: ids.ServerNumber
    ) -> request_limits.RequestLimit | None:
        return self._limits.request_limit(server, self._timers.now())

    async def _request_permit(
        self, server: server_directory.ServerEntry
    ) -> units.Seconds:
        """Returns 0 for a permit, else the time to wait."""
        number = _number(server)
        wait: units.Seconds | None = None
        for issuer, as_standby in self._issuers_to_ask(number):
            wait = await self._ask(issuer, number, as_standby=as_standby)
            if wait is not None:
                break
        if wait is None:
            wait = _UNANSWERED_WAIT
        self._instruments.count_permit("denied" if wait else "issued")
        if wait:
            now = self._timers.now()
            self._denied_until = {
                other: until
                for other, until in self._denied_until.items()
                if until > now
            }
            self._denied_until[number] = units.after(now, wait)
        return wait

    def _issuers_to_ask(
        self, server: ids.ServerNumber
    ) -> Iterator[tuple[addresses.Address, bool]]:
        """Yields daemons and whether they are asked as standby."""
        issuers = self._issuers.issuers(server)
        yield from zip(issuers, (False, True), strict=False)
        if self._cold.is_cold(server, self._timers.now()):
            for fallback in self._issuers.fallback_issuers(server):
                if fallback not in issuers[1:]:
                    yield fallback, True

    async def _ask(
        self,
        issuer: addresses.Address,
        server: ids.ServerNumber,
        *,
        as_standby: bool,
    ) -> units.Seconds | None:
        """Returns the issuer's answer; None if it declines or is silent."""
        now = self._timers.now()
        if self._limit(server) is None:
            return units.Seconds(0.0)
        if issuer == self._own_address:
            return self._issue(server, now, as_standby=as_standby)
        if self._send is None or now < self._silent_until.get(issuer, now):
            return None
        named = self._named_limits.limit(server)
        call = permit_messages.PermitCall(
            next(self._call_numbers),
            server,
            None if named is None else named.rate,
            units.Seconds(0.0)
            if named is None
            else units.elapsed(named.observed_at, now),
            as_standby,
            self._cold.news(server, now),
        )
        reply: asyncio.Future[units.Seconds | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[call.call] = reply
        try:
            self._send(permit_messages.encode_call(call), (issuer,))
            await asyncio.wait((reply,), timeout=_REPLY_TIMEOUT)
        finally:
            del self._replies[call.call]
        if reply.done():
            return reply.result()
        self._on_silence(issuer)
        return None

    def _on_silence(self, issuer: addresses.Address) -> None:
        now = self._timers.now()
        self._silent_until = {
            address: until
            for address, until in self._silent_until.items()
            if until > now
        }
        self._silent_until[issuer] = units.after(now, _SILENCE_PERIOD)
        self._log.emit(events.Event.PERMIT_ISSUER_SILENT, peer=str(issuer))


def _number(server: server_directory.ServerEntry) -> ids.ServerNumber:
    return load_reports.hash_incarnation(server.id, server.incarnation)
