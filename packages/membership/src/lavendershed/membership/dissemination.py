"""Dissemination of small soft-state records by gossip."""

from __future__ import annotations

import dataclasses
import heapq

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import units
from lavendershed.membership import records as records_module
from lavendershed.membership import transmissions

_Key = tuple[backend_servers.Owner, records_module.Subject]
# Up to this many daemons the origin sends a record to all others itself, and
# they forward it only to repair losses.
FULL_MESH_MAX_MEMBERS = 10
_FULL_MESH_FORWARDS = 2
# One transmission more than there are other live members, because one may go
# to a dead member that is probed again.
_DEAD_MEMBER_TRANSMISSIONS = 1
_SIZE_MARGIN_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationLimits:
    """Bounds on the records that a daemon stores.

    Attributes:
        max_record_size: Larger records are rejected.
        max_lifetime: Longer lifetimes are shortened to this, so that no peer
            can fill the store permanently.
        max_per_origin: Maximum number of records of one daemon process.
    """

    max_records: int = 8_192
    max_bytes: units.Bytes = units.Bytes(2_000_000)
    max_record_size: units.Bytes = units.Bytes(700)
    max_lifetime: units.Seconds = units.Seconds(3_600.0)
    max_per_origin: int = 512


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    record: records_module.VersionedRecord
    expires_at: units.Instant
    size: units.Bytes


_LIFETIME_BY_KIND = {
    # Longer than dissemination to all members takes, and short enough that
    # limit shares don't follow stale demand.
    records_module.RecordKind.DEMAND: units.Seconds(6.0),
    records_module.RecordKind.LOAD: units.Seconds(3.0),
    # The VM disappears from the platform's VM list well before this.
    records_module.RecordKind.BACKEND_LEAVING: units.Seconds(120.0),
}


class Dissemination:
    """Stores the newest record of each origin and subject until it expires."""

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
        self._total_bytes = 0
        self._entries: dict[_Key, _Entry] = {}
        self._count_by_origin: dict[backend_servers.Owner, int] = {}
        self._expiry_heap: list[tuple[units.Instant, int, _Key, int]] = []
        self._heap_sequence = 0
        # Load and demand digests are frequent and soon replaced; urgent records
        # must not be queued behind them.
        self._urgent_queue: transmissions.TransmissionQueue[_Key, _Key] = (
            transmissions.TransmissionQueue()
        )
        self._digest_queue: transmissions.TransmissionQueue[_Key, _Key] = (
            transmissions.TransmissionQueue()
        )

    @property
    def record_count(self) -> int:
        """Number of stored records."""
        return len(self._entries)

    @property
    def total_bytes(self) -> units.Bytes:
        """Encoded size of all stored records."""
        return units.Bytes(self._total_bytes)

    def fits(self, content: cluster.PeerRecord) -> bool:
        """Returns whether a record is within the size limit."""
        record = records_module.VersionedRecord(
            self._owner, self._version + 1, units.Seconds(1.0), content
        )
        # The encoded version and lifetime may grow by a few bytes.
        size = self._sizer.record_size(record) + _SIZE_MARGIN_BYTES
        return size <= self._limits.max_record_size

    def publish(
        self, content: cluster.PeerRecord, member_count: int, now: units.Instant
    ) -> bool:
        """Publishes a record of this daemon; returns whether it was accepted.

        Args:
            content: The record; it replaces the previous one of its subject.
            member_count: Number of live daemons, this one included.
            now: Current time.
        """
        kind = records_module.subject_of(content).kind
        lifetime = (
            content.lifetime
            if isinstance(
                content, cluster.QuarantineRecord | cluster.CrashSuspectRecord
            )
            else _LIFETIME_BY_KIND[kind]
        )
        self._version += 1
        record = records_module.VersionedRecord(
            self._owner, self._version, lifetime, content
        )
        transmission_limit = transmissions.transmission_limit(member_count)
        if member_count <= FULL_MESH_MAX_MEMBERS:
            transmission_limit = member_count - 1 + _DEAD_MEMBER_TRANSMISSIONS
            if kind in records_module.URGENT_KINDS:
                transmission_limit += transmissions.transmission_limit(
                    member_count
                )
        return self._accept(record, transmission_limit, now)

    def on_record(
        self,
        record: records_module.VersionedRecord,
        member_count: int,
        now: units.Instant,
    ) -> bool:
        """Stores a record of another daemon; returns whether it is new."""
        if record.origin == self._owner:
            return False
        transmission_limit = transmissions.transmission_limit(member_count)
        if member_count <= FULL_MESH_MAX_MEMBERS:
            # A lost digest is superseded by the next one of its origin.
            urgent = record.subject.kind in records_module.URGENT_KINDS
            transmission_limit = _FULL_MESH_FORWARDS if urgent else 0
        return self._accept(record, transmission_limit, now)

    def on_timer(self, now: units.Instant) -> None:
        """Drops expired records."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            self._evict_earliest_expiring()

    def take_records(
        self, max_size: units.Bytes, now: units.Instant, *, digests: bool = True
    ) -> tuple[tuple[records_module.VersionedRecord, ...], units.Bytes]:
        """Returns records for the next message and their total size.

        Args:
            max_size: Maximum total size of the records.
            now: Current time.
            digests: Whether to include records that are not urgent.
        """
        self.on_timer(now)
        urgent, urgent_size = self._urgent_queue.take(max_size)
        digest_size_limit = (
            units.Bytes(max_size - urgent_size) if digests else units.Bytes(0)
        )
        digests_taken, digest_size = self._digest_queue.take(digest_size_limit)
        records = tuple(
            self._with_remaining_lifetime(self._entries[key], now)
            for key in (*urgent, *digests_taken)
        )
        return records, units.Bytes(urgent_size + digest_size)

    def snapshot(
        self, now: units.Instant
    ) -> tuple[records_module.VersionedRecord, ...]:
        """Returns all unexpired records."""
        self.on_timer(now)
        return tuple(
            self._with_remaining_lifetime(entry, now)
            for entry in self._entries.values()
        )

    def _accept(
        self,
        record: records_module.VersionedRecord,
        transmission_limit: int,
        now: units.Instant,
    ) -> bool:
        self.on_timer(now)
        key = (record.origin, record.subject)
        known = self._entries.get(key)
        if known is not None and known.record.version >= record.version:
            return False
        size = self._sizer.record_size(record)
        if size > self._limits.max_record_size or record.lifetime <= 0:
            return False
        if known is not None:
            self._remove(key)
        elif (
            self._count_by_origin.get(record.origin, 0)
            >= self._limits.max_per_origin
        ):
            return False
        while self._entries and (
            len(self._entries) >= self._limits.max_records
            or self._total_bytes + size > self._limits.max_bytes
        ):
            self._evict_earliest_expiring()
        lifetime = min(record.lifetime, self._limits.max_lifetime)
        expires_at = units.after(now, units.Seconds(lifetime))
        self._entries[key] = _Entry(record, expires_at, size)
        self._total_bytes += size
        self._count_by_origin[record.origin] = (
            self._count_by_origin.get(record.origin, 0) + 1
        )
        self._heap_sequence += 1
        heapq.heappush(
            self._expiry_heap,
            (expires_at, self._heap_sequence, key, record.version),
        )
        urgent = record.subject.kind in records_module.URGENT_KINDS
        queue = self._urgent_queue if urgent else self._digest_queue
        if transmission_limit > 0:
            queue.put(key, key, size, transmission_limit)
        return True

    def _evict_earliest_expiring(self) -> None:
        _, _, key, version = heapq.heappop(self._expiry_heap)
        entry = self._entries.get(key)
        # Heap entries of replaced versions are removed lazily.
        if entry is not None and entry.record.version == version:
            self._remove(key)

    def _remove(self, key: _Key) -> None:
        entry = self._entries.pop(key)
        self._total_bytes -= entry.size
        self._urgent_queue.discard(key)
        self._digest_queue.discard(key)
        origin = key[0]
        self._count_by_origin[origin] -= 1
        if not self._count_by_origin[origin]:
            del self._count_by_origin[origin]

    def _with_remaining_lifetime(
        self, entry: _Entry, now: units.Instant
    ) -> records_module.VersionedRecord:
        return dataclasses.replace(
            entry.record, lifetime=units.elapsed(now, entry.expires_at)
        )
