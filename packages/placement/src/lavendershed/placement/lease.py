"""Lease on the right to send placement orders for one service."""

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
    """Content of a lease object in the store; it is never deleted.

    Attributes:
        holder: The daemon process that holds the lease; None once released.
        fencing_number: Number that increases with every new holder.
    """

    holder: backend_servers.Owner | None
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations of a lease.

    Attributes:
        duration: Time without a new version of the lease object after which
            another daemon may acquire the lease.
        safety_margin: Time before the end of `duration` at which the holder
            stops sending orders. It covers the drift between two monotonic
            clocks and the delivery time of an order.
        renew_interval: Age of the last renewal at which the next one is sent.
        max_order_delay: Longest time after which an order that was sent may
            still take effect.
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
    """State of a lease that this process holds.

    Attributes:
        version: Version of the last write that is known to have taken effect.
        renewed_at: When that write was sent.
        unfenced_orders_from: First instant at which orders may be sent to
            engines that don't check fencing numbers.
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
    """One daemon process's view of one lease.

    At most one command is outstanding at a time.
    """

    def __init__(
        self, owner: backend_servers.Owner, timings: LeaseTimings
    ) -> None:
        self._owner = owner
        self._timings = timings
        self._held: _HeldLease | None = None
        self._observed: _ObservedLease | None = None
        self._known_absent = False
        self._lost = False
        # When the first write with an unknown outcome was sent.
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
        """Returns the fencing number, or None if no order may be sent at `now`.

        Args:
            now: Time immediately before the order is sent.
            checks_fencing: Whether the engine rejects old fencing numbers. If
                it does not, orders of the previous holder may still take
                effect during `max_order_delay`, so this holder waits.
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
        """Returns the next store command, or None if none is due at `now`.

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
        """Returns the write that releases the lease, or None if not held."""
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
        """Handles the confirmation of a write."""
        record, sent_at = self._last_write, self._last_write_at
        self._unconfirmed_since = None
        if record is None:
            return
        self._on_write_confirmed(record, version, sent_at, now)

    def on_write_failed(
        self, error: object_store.StoreError, now: units.Instant
    ) -> None:
        """Handles a write that failed or has an unknown outcome."""
        # The conflict may be caused by an earlier write of this process.
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
        """Handles the lease as it was read; None if there is no object."""
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
            # An earlier, abandoned write of this process took effect late. The
            # lease is not used, since its age is no longer known.
            self._mark_lost()
            self._observe(record, version, now)
            return
        # One of the unconfirmed writes took effect. The oldest is assumed, so
        # that the lease is never used for too long.
        self._on_write_confirmed(record, version, unconfirmed_since, now)

    def on_stale_fencing_number(self) -> None:
        """Handles an engine's rejection of the fencing number as stale."""
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
        # Forces another read if this write fails.
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
