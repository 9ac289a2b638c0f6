"""Lease of the placement of one service."""

from __future__ import annotations

import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import states
from lavendershed.core import units

LEASE_PREFIX = "leases/"


def lease_key(service: ids.ServiceId) -> ids.ObjectKey:
    """Returns the store key of a service's lease."""
    return ids.ObjectKey(LEASE_PREFIX + service)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as it is kept in the store; the object is never deleted.

    Attributes:
        holder: The holding daemon process; None after it was given up.
        fencing_number: Epoch of the lease; grows with every new holder.
    """

    holder: backend_servers.Owner | None
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLimits:
    """Times of a lease.

    Attributes:
        duration: Time without a change of version after which an observer
            takes the lease.
        margin: Time before the end of `duration` at which the holder stops.
            It covers the difference of two monotonic clocks and the way of an
            order to its engine.
        renew_after: Age of the last renewal at which the next one is sent.
        order_time: Longest time for which an order may still take effect after
            its holder sent it.
    """

    duration: units.Seconds = units.Seconds(15.0)
    margin: units.Seconds = units.Seconds(5.0)
    renew_after: units.Seconds = units.Seconds(4.0)
    order_time: units.Seconds = units.Seconds(30.0)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Command: write the lease object."""

    record: LeaseRecord
    condition: object_store.Condition


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Command: read the lease object."""


Command = WriteLease | ReadLease


@dataclasses.dataclass(slots=True)
class _Holding:
    """What the holder knows of its own lease.

    Attributes:
        version: Version of its last write that is known to have taken effect.
        sent: When that write was sent.
        acting_from: First instant at which orders may be sent.
    """

    number: ids.FencingNumber
    version: ids.ObjectVersion
    sent: units.Instant
    acting_from: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    record: LeaseRecord
    version: ids.ObjectVersion
    since: units.Instant


class Lease:
    """One daemon process's view of one lease; one command at a time."""

    def __init__(
        self, owner: backend_servers.Owner, limits: LeaseLimits
    ) -> None:
        self._owner = owner
        self._limits = limits
        self._holding: _Holding | None = None
        self._seen: _Seen | None = None
        self._known_absent = False
        self._lost = False
        # When the first write was sent whose fate is not known yet.
        self._in_doubt_since: units.Instant | None = None
        self._written: LeaseRecord | None = None
        self._sent = units.Instant(0.0)

    def state(self, now: units.Instant) -> states.LeaseState:
        """Returns the lease's state as this process sees it."""
        if self._holding is not None:
            if now < self._end(self._holding):
                return states.LeaseState.HELD
            return states.LeaseState.EXPIRING
        if self._lost:
            return states.LeaseState.LOST
        if self._seen is None or self._seen.record.holder is None:
            return states.LeaseState.ABSENT
        return states.LeaseState.HELD_BY_OTHER

    def may_act(
        self, now: units.Instant, checks_fencing: bool
    ) -> ids.FencingNumber | None:
        """Returns the fencing number if an order may be sent at `now`.

        Args:
            now: Time right before the order is sent.
            checks_fencing: Whether the engine refuses old fencing numbers. If
                it does not, orders of the previous holder may take effect for
                `order_time`, and this holder waits for their end.
        """
        holding = self._holding
        if holding is None or now >= self._end(holding):
            return None
        if not checks_fencing and now < holding.acting_from:
            return None
        return holding.number

    def next_command(self, wanted: bool, now: units.Instant) -> Command | None:
        """Returns what to do at `now`, if anything.

        Args:
            wanted: Whether this daemon has the duty for the service.
            now: Current time.
        """
        if self._in_doubt_since is not None:
            return ReadLease()
        holding = self._holding
        if holding is not None:
            if not wanted:
                return self.release(now)
            if units.elapsed(holding.sent, now) < self._limits.renew_after:
                return None
            return self._write(
                LeaseRecord(self._owner, holding.number),
                object_store.IfVersion(holding.version),
                now,
            )
        if not wanted:
            return None
        return self._acquire(now)

    def release(self, now: units.Instant) -> Command | None:
        """Returns the write that gives the lease up, if it is held."""
        holding = self._holding
        if holding is None:
            return None
        self._holding = None
        self._seen = None
        return self._write(
            LeaseRecord(None, holding.number),
            object_store.IfVersion(holding.version),
            now,
        )

    def on_written(
        self, version: ids.ObjectVersion, now: units.Instant
    ) -> None:
        """Takes the confirmation of a write."""
        written, sent = self._written, self._sent
        self._in_doubt_since = None
        if written is None:
            return
        self._adopt(written, version, sent, now)

    def on_write_failed(
        self, error: object_store.StoreError, now: units.Instant
    ) -> None:
        """Takes a write that was not confirmed."""
        # A conflict may come from an earlier write of our own.
        doubtful = error.kind in (
            object_store.StoreErrorKind.CONFLICT,
            object_store.StoreErrorKind.AMBIGUOUS,
        )
        if doubtful and self._in_doubt_since is None:
            self._in_doubt_since = self._sent

    def on_read(
        self,
        record: LeaseRecord | None,
        version: ids.ObjectVersion | None,
        now: units.Instant,
    ) -> None:
        """Takes the lease as it was read, or None if there is none."""
        in_doubt_since, self._in_doubt_since = self._in_doubt_since, None
        if record is None or version is None:
            self._drop()
            self._seen = None
            self._known_absent = True
            return
        if record.holder != self._owner:
            self._drop()
            self._see(record, version, now)
            return
        holding = self._holding
        if holding is not None and version == holding.version:
            return
        if in_doubt_since is None or record != self._written:
            # A write of ours that was given up took effect late. It is not
            # used: how long ago it was sent is not known any more.
            self._drop()
            self._see(record, version, now)
            return
        # One of the writes in doubt took effect; the oldest is assumed.
        self._adopt(record, version, in_doubt_since, now)

    def on_stale_number(self) -> None:
        """Takes an engine's refusal of our fencing number as old."""
        self._drop()

    def _acquire(self, now: units.Instant) -> Command | None:
        seen = self._seen
        if seen is None:
            if not self._known_absent:
                return ReadLease()
            self._known_absent = False
            return self._write(
                LeaseRecord(self._owner, ids.FencingNumber(1)),
                object_store.IfAbsent(),
                now,
            )
        age = units.elapsed(seen.since, now)
        if seen.record.holder is not None and age < self._limits.duration:
            return ReadLease()
        # Read again if the attempt fails.
        self._seen = None
        number = ids.FencingNumber(seen.record.fencing_number + 1)
        return self._write(
            LeaseRecord(self._owner, number),
            object_store.IfVersion(seen.version),
            now,
        )

    def _write(
        self,
        record: LeaseRecord,
        condition: object_store.Condition,
        now: units.Instant,
    ) -> WriteLease:
        self._written = record
        self._sent = now
        return WriteLease(record, condition)

    def _adopt(
        self,
        record: LeaseRecord,
        version: ids.ObjectVersion,
        sent: units.Instant,
        now: units.Instant,
    ) -> None:
        if record.holder is None:
            self._see(record, version, now)
            return
        holding = self._holding
        acting_from = (
            holding.acting_from
            if holding is not None
            else units.after(now, self._limits.order_time)
        )
        self._lost = False
        self._holding = _Holding(
            record.fencing_number, version, sent, acting_from
        )

    def _see(
        self,
        record: LeaseRecord,
        version: ids.ObjectVersion,
        now: units.Instant,
    ) -> None:
        if self._seen is None or self._seen.version != version:
            self._seen = _Seen(record, version, now)

    def _drop(self) -> None:
        if self._holding is not None:
            self._holding = None
            self._seen = None
            self._lost = True

    def _end(self, holding: _Holding) -> units.Instant:
        return units.after(
            holding.sent,
            units.Seconds(self._limits.duration - self._limits.margin),
        )
