"""Reservations of KV memory on several engines for one request."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses
import itertools
import secrets

import result

from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import connections
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import limit_observer
from lavendershed.forwarding import requests
from lavendershed.membership import server_directory
from lavendershed.routing import memory_shares
from lavendershed.telemetry import events
from lavendershed.telemetry import log

# If this daemon crashes, the lease expires: engine memory has to be free 4 s
# after its last use. It is renewed three times as often as needed.
_LEASE_DURATION = units.Seconds(3.5)
_RENEWAL_INTERVAL = units.Seconds(1.1)
# After a timeout it is unknown whether the engine executed the call.
_CALL_TIMEOUT = units.Seconds(0.4)
_MAX_RESPONSE_BODY = units.Bytes(100_000)
# Results that the engine itself has stated.
_STATUSES_FROM_HOLDER = frozenset(
    {requests.ReservationStatus.GRANTED, requests.ReservationStatus.NO_ROOM}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReservationFailure:
    """Why no memory is reserved.

    Attributes:
        holders: Engines that did not grant their share.
        unreachable: Those of them that accepted no connection.
    """

    holders: tuple[server_directory.ServerEntry, ...]
    unreachable: tuple[server_directory.ServerEntry, ...]


class Reservation:
    """Memory shares of one request, held until `release`."""

    def __init__(
        self,
        client: ReservationClient,
        shares: tuple[memory_shares.MemoryShare, ...],
        reservation_id: str,
    ) -> None:
        self._client = client
        self._shares = shares
        self._id = reservation_id
        self._renewal_task: asyncio.Task[None] | None = None

    @property
    def id(self) -> str:
        """Id of the reservation on each holder."""
        return self._id

    @property
    def holders(self) -> tuple[server_directory.ServerEntry, ...]:
        """Engines that reserve a share."""
        return tuple(share.holder for share in self._shares)

    def start_renewal(self) -> None:
        """Renews the lease periodically until `release`."""
        loop = asyncio.get_running_loop()
        self._renewal_task = loop.create_task(self._renew_periodically())

    def release(self) -> None:
        """Releases the memory without waiting for the engines."""
        if self._renewal_task is not None:
            self._renewal_task.cancel()
        self._client.release(self.holders, self._id)

    async def _renew_periodically(self) -> None:
        while True:
            await asyncio.sleep(_RENEWAL_INTERVAL)
            await asyncio.gather(
                *(
                    self._client.reserve_share(share, self._id)
                    for share in self._shares
                )
            )


class ReservationClient:
    """Reserves memory on several engines, all or nothing."""

    def __init__(
        self,
        view: deployment_view.DeploymentView,
        server_connections: connections.BackendConnectionPool,
        codec: codecs.BackendCodec,
        observer: limit_observer.LimitObserver,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._view = view
        self._connections = server_connections
        self._codec = codec
        self._limit_observer = observer
        self._timers = timer_service
        self._log = event_log
        # Unique to this process, so that a delayed call of a previous
        # process can't affect another reservation.
        self._id_prefix = secrets.token_hex(6)
        self._sequence = itertools.count()
        self._release_tasks: set[asyncio.Task[object]] = set()

    async def reserve(
        self, shares: tuple[memory_shares.MemoryShare, ...]
    ) -> result.Result[Reservation, ReservationFailure]:
        """Returns a reservation, or the engines that did not grant a share."""
        reservation_id = f"{self._id_prefix}-{next(self._sequence)}"
        reservation = Reservation(self, shares, reservation_id)
        granted = False
        try:
            statuses = await asyncio.gather(
                *(
                    self.reserve_share(share, reservation_id, new=True)
                    for share in shares
                )
            )
            failed_holders = tuple(
                share.holder
                for share, status in zip(shares, statuses, strict=True)
                if status is not requests.ReservationStatus.GRANTED
            )
            granted = not failed_holders
        finally:
            # Also releases shares that are granted after the timeout.
            if not granted:
                reservation.release()
        self._log.emit(
            events.Event.MEMORY_RESERVED
            if granted
            else events.Event.RESERVATION_FAILED,
            ticket=reservation_id,
            holders=[share.holder.id for share in shares],
            tokens=[str(share.tokens) for share in shares],
            answers=[status.value for status in statuses],
        )
        if not granted:
            unreachable = tuple(
                share.holder
                for share, status in zip(shares, statuses, strict=True)
                if status is requests.ReservationStatus.UNREACHABLE
            )
            return result.Err(ReservationFailure(failed_holders, unreachable))
        reservation.start_renewal()
        return result.Ok(reservation)

    def release(
        self,
        holders: Iterable[server_directory.ServerEntry],
        reservation_id: str,
    ) -> None:
        """Releases a reservation on its holders in the background."""
        loop = asyncio.get_running_loop()
        for holder in holders:
            task = loop.create_task(self._release(holder, reservation_id))
            self._release_tasks.add(task)
            task.add_done_callback(self._release_tasks.discard)

    async def _release(
        self, holder: server_directory.ServerEntry, reservation_id: str
    ) -> None:
        # A holder that wants nothing for longer than the lease ends it itself.
        pause = self._view.notices.pause_time((holder,))
        if pause < _LEASE_DURATION:
            await asyncio.sleep(pause)
            await self._call(
                holder, self._codec.encode_release(holder.id, reservation_id)
            )

    async def reserve_share(
        self,
        share: memory_shares.MemoryShare,
        reservation_id: str,
        *,
        new: bool = False,
    ) -> requests.ReservationStatus:
        """Reserves one share or renews its lease."""
        return await self._call(
            share.holder,
            self._codec.encode_reservation(
                share.holder.id, reservation_id, share.tokens, _LEASE_DURATION
            ),
            is_new_work=new,
        )

    async def _call(
        self,
        holder: server_directory.ServerEntry,
        call: requests.EncodedReservationCall,
        *,
        is_new_work: bool = False,
    ) -> requests.ReservationStatus:
        acquired = await self._connections.acquire(
            holder.address, new_connection=False
        )
        if isinstance(acquired, result.Err):
            return requests.ReservationStatus.UNREACHABLE
        connection = acquired.ok_value.connection
        try:
            if is_new_work and not self._view.accepts_new_work(holder):
                return requests.ReservationStatus.UNKNOWN
            sent_at = self._timers.now()
            sent = await connection.send(call.head, call.body, _CALL_TIMEOUT)
            if isinstance(sent, result.Err):
                return requests.ReservationStatus.UNKNOWN
            head = await connection.read_head(_CALL_TIMEOUT)
            if isinstance(head, result.Err):
                return requests.ReservationStatus.UNKNOWN
            body = await connection.read_body(_CALL_TIMEOUT, _MAX_RESPONSE_BODY)
            if isinstance(body, result.Err):
                return requests.ReservationStatus.UNKNOWN
            status = self._codec.decode_reservation_status(head.ok_value)
            self._view.notices.on_answer(
                holder, self._codec.decode_call_notices(head.ok_value)
            )
            if status in _STATUSES_FROM_HOLDER:
                self._limit_observer.on_answer(
                    holder, head.ok_value, sent_at, to_call=True
                )
            return status
        finally:
            # Answers to calls have no id, so that a late copy of this one would
            # be taken for the answer to the next call.
            connection.close()
