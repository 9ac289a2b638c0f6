"""Memory of engines that is set aside for one request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import itertools
import secrets

import result

from lavendershed.core import units
from lavendershed.forwarding import connections
from lavendershed.forwarding import requests
from lavendershed.forwarding import translators
from lavendershed.membership import server_directory
from lavendershed.routing import memory_shares
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# A lease ends by itself if this daemon does; engines' memory has to be free
# 4 s after its last use. It is renewed three times as often as needed.
_LEASE = units.Seconds(3.5)
_RENEWAL = units.Seconds(1.1)
# An order that has no answer by then may have been carried out or not.
_ORDER_TIMEOUT = units.Seconds(0.4)
_MAX_ANSWER = units.Bytes(100_000)


class Reservation:
    """Shares of one request that are held until it is released."""

    def __init__(
        self,
        keeper: ReservationKeeper,
        shares: tuple[memory_shares.MemoryShare, ...],
        ticket: str,
    ) -> None:
        self._keeper = keeper
        self._shares = shares
        self._ticket = ticket
        self._renewal: asyncio.Task[None] | None = None

    @property
    def ticket(self) -> str:
        """Name of the reservation at each holder."""
        return self._ticket

    @property
    def holders(self) -> tuple[server_directory.ServerEntry, ...]:
        """Engines that hold a share."""
        return tuple(share.holder for share in self._shares)

    def start_renewal(self) -> None:
        """Renews the lease until `release`."""
        loop = asyncio.get_running_loop()
        self._renewal = loop.create_task(self._renew())

    def release(self) -> None:
        """Gives the memory back without waiting for the engines."""
        if self._renewal is not None:
            self._renewal.cancel()
        self._keeper.release(self.holders, self._ticket)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(_RENEWAL)
            await asyncio.gather(
                *(self._keeper.order(s, self._ticket) for s in self._shares)
            )


class ReservationKeeper:
    """Reserves memory on several engines, all or nothing."""

    def __init__(
        self,
        server_connections: connections.ServerConnections,
        translator: translators.ServerTranslator,
        event_log: log.EventLog,
    ) -> None:
        self._connections = server_connections
        self._translator = translator
        self._log = event_log
        # Unique among all processes, so that a late order of one that has
        # ended can't touch another reservation.
        self._prefix = secrets.token_hex(6)
        self._numbers = itertools.count()
        self._releases: set[asyncio.Task[object]] = set()

    async def reserve(
        self, shares: tuple[memory_shares.MemoryShare, ...]
    ) -> result.Result[Reservation, tuple[server_directory.ServerEntry, ...]]:
        """Returns a reservation, or the engines that did not grant it."""
        ticket = f"{self._prefix}-{next(self._numbers)}"
        held = Reservation(self, shares, ticket)
        granted = False
        try:
            answers = await asyncio.gather(
                *(self.order(share, ticket) for share in shares)
            )
            refused = tuple(
                share.holder
                for share, answer in zip(shares, answers, strict=True)
                if answer is not requests.ReservationAnswer.GRANTED
            )
            granted = not refused
        finally:
            # Whoever has granted a share, or may still do so, is told.
            if not granted:
                held.release()
        self._log.emit(
            events.Event.MEMORY_RESERVED
            if granted
            else events.Event.RESERVATION_FAILED,
            ticket=ticket,
            holders=[share.holder.id for share in shares],
            tokens=[str(share.tokens) for share in shares],
            answers=[answer.value for answer in answers],
        )
        if not granted:
            return result.Err(refused)
        held.start_renewal()
        return result.Ok(held)

    def release(
        self, holders: Iterable[server_directory.ServerEntry], ticket: str
    ) -> None:
        """Ends a reservation at its holders, beside other work."""
        loop = asyncio.get_running_loop()
        for holder in holders:
            task = loop.create_task(
                self._call(
                    holder, self._translator.encode_release(holder.id, ticket)
                )
            )
            self._releases.add(task)
            task.add_done_callback(self._releases.discard)

    async def order(
        self, share: memory_shares.MemoryShare, ticket: str
    ) -> requests.ReservationAnswer:
        """Reserves one share or renews it."""
        return await self._call(
            share.holder,
            self._translator.encode_reservation(
                share.holder.id, ticket, share.tokens, _LEASE
            ),
        )

    async def _call(
        self,
        holder: server_directory.ServerEntry,
        order: requests.EncodedOrder,
    ) -> requests.ReservationAnswer:
        acquired = await self._connections.acquire(holder.address, fresh=False)
        if isinstance(acquired, result.Err):
            return requests.ReservationAnswer.UNKNOWN
        connection = acquired.ok_value.connection
        kept = False
        try:
            sent = await connection.send(order.head, order.body, _ORDER_TIMEOUT)
            if isinstance(sent, result.Err):
                return requests.ReservationAnswer.UNKNOWN
            head = await connection.read_head(_ORDER_TIMEOUT)
            if isinstance(head, result.Err):
                return requests.ReservationAnswer.UNKNOWN
            body = await connection.read_body(_ORDER_TIMEOUT, _MAX_ANSWER)
            if isinstance(body, result.Err):
                return requests.ReservationAnswer.UNKNOWN
            answer, idle_limit = self._translator.decode_order(head.ok_value)
            self._connections.release(holder.address, connection, idle_limit)
            kept = True
            return answer
        finally:
            if not kept:
                connection.close()
