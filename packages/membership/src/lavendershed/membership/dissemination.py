"""Spreading of small soft-state records."""

from __future__ import annotations

import dataclasses
import heapq

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import units
from lavendershed.membership import records as records_module
from lavendershed.membership import transmissions

_Key = tuple[backend_servers.Owner, records_module.Subject]
# Up to this many daemons the origin reaches everyone itself, so that others
# forward a record only to repair losses.
DIRECT_MEMBERS = 10
_DIRECT_FORWARDS = 2
# One more than the others, for a dead member that is tried again.
_SPARE_TRANSMISSIONS = 1
_SIZE_MARGIN = 12


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationLimits:
    """Bounds of the records that a daemon holds.

    Attributes:
        max_record_size: A larger record is refused.
        max_lifetime: Longer lifetimes are cut, so that no peer can fill the
            store for good.
        max_per_origin: Records of one daemon process.
    """

    max_records: int = 8_192
    max_bytes: units.Bytes = units.Bytes(2_000_000)
    max_record_size: units.Bytes = units.Bytes(700)
    max_lifetime: units.Seconds = units.Seconds(3_600.0)
    max_per_origin: int = 512


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    record: records_module.VersionedRecord
    expires: units.Instant
    size: units.Bytes


_LIFETIMES = {
    # Longer than the way through all members, shorter than a stale limit.
    records_module.RecordKind.DEMAND: units.Seconds(6.0),
    records_module.RecordKind.LOAD: units.Seconds(3.0),
    # The platform's VM list shows the VM as gone well before this.
    records_module.RecordKind.BACKEND_LEAVING: units.Seconds(120.0),
}


class Dissemination:
    """Holds the newest record of each origin and subject until it expires."""

    def __init__(
        self,
        owner: backend_servers.Owner,
        sizer: records_module.RecordSizer,
        limits: DisseminationLimits = DisseminationLimits(),  # noqa: B008
    ) -> None:
        self._owner = owner
        self._sizer = sizer
        self._limits = limits
        self._version = 0
        self._bytes = 0
        self._held: dict[_Key, _Held] = {}
        self._per_origin: dict[backend_servers.Owner, int] = {}
        self._expiries: list[tuple[units.Instant, int, _Key, int]] = []
        self._pushed = 0
        # Digests of load and demand are many and are replaced soon; urgent
        # records must not wait behind them.
        self._urgent: transmissions.TransmissionQueue[_Key, _Key] = (
            transmissions.TransmissionQueue()
        )
        self._queue: transmissions.TransmissionQueue[_Key, _Key] = (
            transmissions.TransmissionQueue()
        )

    @property
    def held_records(self) -> int:
        """Number of records."""
        return len(self._held)

    @property
    def held_bytes(self) -> units.Bytes:
        """Encoded size of all records."""
        return units.Bytes(self._bytes)

    def fits(self, content: cluster.PeerRecord) -> bool:
        """Returns whether a record is small enough to be published."""
        record = records_module.VersionedRecord(
            self._owner, self._version + 1, units.Seconds(1.0), content
        )
        # The version and the lifetime may grow by a few bytes.
        size = self._sizer.record_size(record) + _SIZE_MARGIN
        return size <= self._limits.max_record_size

    def publish(
        self, content: cluster.PeerRecord, members: int, now: units.Instant
    ) -> bool:
        """Takes a record of this daemon; returns whether it was accepted.

        Args:
            content: The record; it replaces the last one of its subject.
            members: Number of live daemons, this one included.
            now: Current time.
        """
        kind = records_module.subject_of(content).kind
        lifetime = (
            content.lifetime
            if isinstance(
                content, cluster.QuarantineRecord | cluster.CrashSuspectRecord
            )
            else _LIFETIMES[kind]
        )
        self._version += 1
        record = records_module.VersionedRecord(
            self._owner, self._version, lifetime, content
        )
        limit = transmissions.retransmissions(members)
        if members <= DIRECT_MEMBERS:
            limit = members - 1 + _SPARE_TRANSMISSIONS
            if kind in records_module.URGENT_KINDS:
                limit += transmissions.retransmissions(members)
        return self._accept(record, limit, now)

    def on_record(
        self,
        record: records_module.VersionedRecord,
        members: int,
        now: units.Instant,
    ) -> bool:
        """Takes a record of another daemon; returns whether it is news."""
        if record.origin == self._owner:
            return False
        limit = transmissions.retransmissions(members)
        if members <= DIRECT_MEMBERS:
            # A lost digest is replaced by the next one of its origin.
            urgent = record.subject.kind in records_module.URGENT_KINDS
            limit = _DIRECT_FORWARDS if urgent else 0
        return self._accept(record, limit, now)

    def on_time(self, now: units.Instant) -> None:
        """Drops the records whose lifetime has ended."""
        while self._expiries and self._expiries[0][0] <= now:
            self._drop_soonest()

    def take(
        self, room: units.Bytes, now: units.Instant, *, digests: bool = True
    ) -> tuple[tuple[records_module.VersionedRecord, ...], units.Bytes]:
        """Returns records for the next message, and their size.

        Args:
            room: Largest size of all records together.
            now: Current time.
            digests: Whether records that are not urgent may be taken.
        """
        self.on_time(now)
        urgent, urgent_size = self._urgent.take(room)
        left = units.Bytes(room - urgent_size) if digests else units.Bytes(0)
        others, size = self._queue.take(left)
        taken = tuple(
            self._aged(self._held[key], now) for key in (*urgent, *others)
        )
        return taken, units.Bytes(urgent_size + size)

    def snapshot(
        self, now: units.Instant
    ) -> tuple[records_module.VersionedRecord, ...]:
        """Returns all live records."""
        self.on_time(now)
        return tuple(self._aged(held, now) for held in self._held.values())

    def _accept(
        self,
        record: records_module.VersionedRecord,
        transmission_limit: int,
        now: units.Instant,
    ) -> bool:
        self.on_time(now)
        key = (record.origin, record.subject)
        known = self._held.get(key)
        if known is not None and known.record.version >= record.version:
            return False
        size = self._sizer.record_size(record)
        if size > self._limits.max_record_size or record.lifetime <= 0:
            return False
        if known is not None:
            self._remove(key)
        elif (
            self._per_origin.get(record.origin, 0)
            >= self._limits.max_per_origin
        ):
            return False
        while self._held and (
            len(self._held) >= self._limits.max_records
            or self._bytes + size > self._limits.max_bytes
        ):
            self._drop_soonest()
        lifetime = min(record.lifetime, self._limits.max_lifetime)
        expires = units.after(now, units.Seconds(lifetime))
        self._held[key] = _Held(record, expires, size)
        self._bytes += size
        self._per_origin[record.origin] = (
            self._per_origin.get(record.origin, 0) + 1
        )
        self._pushed += 1
        heapq.heappush(
            self._expiries, (expires, self._pushed, key, record.version)
        )
        urgent = record.subject.kind in records_module.URGENT_KINDS
        queue = self._urgent if urgent else self._queue
        if transmission_limit > 0:
            queue.put(key, key, size, transmission_limit)
        return True

    def _drop_soonest(self) -> None:
        _, _, key, version = heapq.heappop(self._expiries)
        held = self._held.get(key)
        # An entry of a replaced version stays in the heap until its time.
        if held is not None and held.record.version == version:
            self._remove(key)

    def _remove(self, key: _Key) -> None:
        held = self._held.pop(key)
        self._bytes -= held.size
        self._urgent.discard(key)
        self._queue.discard(key)
        origin = key[0]
        self._per_origin[origin] -= 1
        if not self._per_origin[origin]:
            del self._per_origin[origin]

    def _aged(
        self, held: _Held, now: units.Instant
    ) -> records_module.VersionedRecord:
        return dataclasses.replace(
            held.record, lifetime=units.elapsed(now, held.expires)
        )
