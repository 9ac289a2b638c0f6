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
class LeaseTimings:
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
    safety_margin: units.Seconds = units.Seconds(5.0)
    renew_interval: units.Seconds = units.Seconds(4.0)
    max_order_delay: units.Seconds = units.Seconds(30.0)


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
class _HeldLease:
    """What the holder knows of its own lease.

    Attributes:
        version: Version of its last write that is known to have taken effect.
        sent: When that write was sent.
        acting_from: First instant at which orders may be sent.
    """

    fencing_number: ids.FencingNumber
    version: ids.ObjectVersion
    renewed_at: units.Instant
    unfenced_orders_from: units.Instant


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedLease:
    record: LeaseRecord
    version: ids.ObjectVersion
    first_seen_at: units.Instant


class PlacementLease:
    """One daemon process's view of one lease; one command at a time."""

    def __init__(
        self, owner: backend_servers.Owner, timings: LeaseTimings
    ) -> None:
        self._owner = owner
        self._timings = timings
        self._held: _HeldLease | None = None
        self._observed: _ObservedLease | None = None
        self._known_absent = False
        self._lost = False
        # When the first write was sent whose fate is not known yet.
        self._unconfirmed_since: units.Instant | None = None
        self._last_write: LeaseRecord | None = None
        self._last_write_at = units.Instant(0.0)

    def state(self, now: units.Instant) -> states.LeaseState:
        """Returns the lease's state as this process sees it."""
        if self._held is not None:
            if now < self._usable_until(self._held):
                return states.LeaseState.HELD
            return states.LeaseState.EXPIRING
        if self._lost:
            return states.LeaseState.LOST
        if self._observed is None or self._observed.record.holder is None:
            return states.LeaseState.ABSENT
        return states.LeaseState.HELD_BY_OTHER

    def usable_fencing_number(
        self, now: units.Instant, checks_fencing: bool
    ) -> ids.FencingNumber | None:
        """Returns the fencing number if an order may be sent at `now`.

        Args:
            now: Time right before the order is sent.
            checks_fencing: Whether the engine refuses old fencing numbers. If
                it does not, orders of the previous holder may take effect for
                `order_time`, and this holder waits for their end.
        """
        held = self._held
        if held is None or now >= self._usable_until(held):
            return None
        if not checks_fencing and now < held.unfenced_orders_from:
            return None
        return held.fencing_number

    def next_command(
        self, is_assigned: bool, now: units.Instant
    ) -> Command | None:
        """Returns what to do at `now`, if anything.

        Args:
            is_assigned: Whether this daemon is assigned to place the service.
            now: Current time.
        """
        if self._unconfirmed_since is not None:
            return ReadLease()
        held = self._held
        if held is not None:
            if not is_assigned:
                return self.release(now)
            if (
                units.elapsed(held.renewed_at, now)
                < self._timings.renew_interval
            ):
                return None
            return self._write_command(
                LeaseRecord(self._owner, held.fencing_number),
                object_store.IfVersion(held.version),
                now,
            )
        if not is_assigned:
            return None
        return self._acquire(now)

    def release(self, now: units.Instant) -> Command | None:
        """Returns the write that gives the lease up, if it is held."""
        held = self._held
        if held is None:
            return None
        self._held = None
        self._observed = None
        return self._write_command(
            LeaseRecord(None, held.fencing_number),
            object_store.IfVersion(held.version),
            now,
        )

    def on_written(
        self, version: ids.ObjectVersion, now: units.Instant
    ) -> None:
        """Takes the confirmation of a write."""
        record, sent_at = self._last_write, self._last_write_at
        self._unconfirmed_since = None
        if record is None:
            return
        self._on_write_confirmed(record, version, sent_at, now)

    def on_write_failed(
        self, error: object_store.StoreError, now: units.Instant
    ) -> None:
        """Takes a write that was not confirmed."""
        # A conflict may come from an earlier write of our own.
        may_have_taken_effect = error.kind in (
            object_store.StoreErrorKind.CONFLICT,
            object_store.StoreErrorKind.AMBIGUOUS,
        )
        if may_have_taken_effect and self._unconfirmed_since is None:
            self._unconfirmed_since = self._last_write_at

    def on_read(
        self,
        record: LeaseRecord | None,
        version: ids.ObjectVersion | None,
        now: units.Instant,
    ) -> None:
        """Takes the lease as it was read, or None if there is none."""
        unconfirmed_since, self._unconfirmed_since = (
            self._unconfirmed_since,
            None,
        )
        if record is None or version is None:
            self._mark_lost()
            self._observed = None
            self._known_absent = True
            return
        if record.holder != self._owner:
            self._mark_lost()
            self._observe(record, version, now)
            return
        held = self._held
        if held is not None and version == held.version:
            return
        if unconfirmed_since is None or record != self._last_write:
            # A write of ours that was given up took effect late. It is not
            # used: how long ago it was sent is not known any more.
            self._mark_lost()
            self._observe(record, version, now)
            return
        # One of the writes in doubt took effect; the oldest is assumed.
        self._on_write_confirmed(record, version, unconfirmed_since, now)

    def on_stale_fencing_number(self) -> None:
        """Takes an engine's refusal of our fencing number as old."""
        self._mark_lost()

    def _acquire(self, now: units.Instant) -> Command | None:
        observed = self._observed
        if observed is None:
            if not self._known_absent:
                return ReadLease()
            self._known_absent = False
            return self._write_command(
                LeaseRecord(self._owner, ids.FencingNumber(1)),
                object_store.IfAbsent(),
                now,
            )
        unchanged_for = units.elapsed(observed.first_seen_at, now)
        if (
            observed.record.holder is not None
            and unchanged_for < self._timings.duration
        ):
            return ReadLease()
        # Read again if the attempt fails.
        self._observed = None
        fencing_number = ids.FencingNumber(observed.record.fencing_number + 1)
        return self._write_command(
            LeaseRecord(self._owner, fencing_number),
            object_store.IfVersion(observed.version),
            now,
        )

    def _write_command(
        self,
        record: LeaseRecord,
        condition: object_store.Condition,
        now: units.Instant,
    ) -> WriteLease:
        self._last_write = record
        self._last_write_at = now
        return WriteLease(record, condition)

    def _on_write_confirmed(
        self,
        record: LeaseRecord,
        version: ids.ObjectVersion,
        sent_at: units.Instant,
        now: units.Instant,
    ) -> None:
        if record.holder is None:
            self._observe(record, version, now)
            return
        held = self._held
        unfenced_orders_from = (
            held.unfenced_orders_from
            if held is not None
            else units.after(now, self._timings.max_order_delay)
        )
        self._lost = False
        self._held = _HeldLease(
            record.fencing_number, version, sent_at, unfenced_orders_from
        )

    def _observe(
        self,
        record: LeaseRecord,
        version: ids.ObjectVersion,
        now: units.Instant,
    ) -> None:
        if self._observed is None or self._observed.version != version:
            self._observed = _ObservedLease(record, version, now)

    def _mark_lost(self) -> None:
        if self._held is not None:
            self._held = None
            self._observed = None
            self._lost = True

    def _usable_until(self, held: _HeldLease) -> units.Instant:
        return units.after(
            held.renewed_at,
            units.Seconds(self._timings.duration - self._timings.safety_margin),
        )
