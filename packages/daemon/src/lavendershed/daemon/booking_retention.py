"""Deletion of booking records whose retention period has ended."""

from __future__ import annotations

import asyncio
import random

import result

from lavendershed.booking import records
from lavendershed.booking import retention
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import rendezvous
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.daemon import background
from lavendershed.objects import codec
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers

# Records are listed by the leading hexadecimal digits of their hash, so that a
# page with the stored responses takes little memory.
_PARTITION_DIGITS = 3
_PARTITIONS = 16**_PARTITION_DIGITS
_MAX_DELETIONS_PER_STEP = 50
_RENDEZVOUS_KEY = "booking-retention"
_CLOCK_CODEC = codec.Codec(retention.ClockRecord)


class BookingRetention(background.BackgroundTask):
    """Advances the retention clock and deletes expired records.

    Rendezvous hashing selects one daemon for the task. Two daemons at the same
    time are harmless, because ticks and deletions are conditional on object
    versions.
    """

    def __init__(
        self,
        vm: ids.VmId,
        store: object_store.ObjectStore,
        members: cluster.MembershipView,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
        generator: random.Random,
        limits: retention.RetentionLimits,
        interval: units.Seconds,
    ) -> None:
        self._vm = vm
        self._store = store
        self._members = members
        self._timers = timer_service
        self._log = event_log
        self._random = generator
        self._interval = interval
        self._clock = retention.RetentionClock(limits)
        # Random, so that frequent restarts don't starve any partition.
        self._partition = generator.randrange(_PARTITIONS)
        self._last_listed_key: ids.ObjectKey | None = None

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            delay = self._interval * self._random.uniform(0.5, 1.5)
            await event_loop_timers.sleep(self._timers, units.Seconds(delay))
            if (
                rendezvous.owner(self._members.live, _RENDEZVOUS_KEY)
                == self._vm
            ):
                await self.step()

    async def step(self) -> None:
        """Advances the clock if due and deletes expired records of one page."""
        await self._advance_clock()
        if self._clock.version is None:
            return
        prefix = (
            f"{records.RECORD_PREFIX}{self._partition:0{_PARTITION_DIGITS}x}"
        )
        page = await self._store.list(prefix, self._last_listed_key)
        if isinstance(page, result.Err):
            return
        if not page.ok_value:
            self._partition = (self._partition + 1) % _PARTITIONS
            self._last_listed_key = None
            return
        expired = [
            stored
            for stored in page.ok_value
            if self._clock.is_expired(stored.version)
        ]
        deletions = expired[:_MAX_DELETIONS_PER_STEP]
        await asyncio.gather(
            *(
                self._store.delete(expired_record.key, expired_record.version)
                for expired_record in deletions
            )
        )
        self._last_listed_key = page.ok_value[-1].key
        if len(expired) > len(deletions):
            self._last_listed_key = deletions[-1].key
        if deletions:
            self._log.emit(
                events.Event.BOOKING_RECORDS_EXPIRED, count=len(deletions)
            )

    async def _advance_clock(self) -> None:
        version = self._clock.version
        if version is None:
            await self._read_clock()
            return
        record = self._clock.next_record(self._timers.now())
        if record is None:
            return
        written = await self._store.put(
            retention.CLOCK_KEY,
            _CLOCK_CODEC.encode(record),
            object_store.IfVersion(version),
        )
        if isinstance(written, result.Ok):
            self._clock.on_clock(record, written.ok_value, self._timers.now())
            return
        # Another daemon has advanced the clock, or the response was lost.
        await self._read_clock()

    async def _read_clock(self) -> None:
        stored = await self._store.get(retention.CLOCK_KEY)
        if isinstance(stored, result.Ok):
            record = _CLOCK_CODEC.decode(stored.ok_value.value)
            if isinstance(record, result.Ok):
                self._clock.on_clock(
                    record.ok_value, stored.ok_value.version, self._timers.now()
                )
        elif stored.err_value.kind is object_store.StoreErrorKind.ABSENT:
            await self._store.put(
                retention.CLOCK_KEY,
                _CLOCK_CODEC.encode(retention.ClockRecord()),
                object_store.IfAbsent(),
            )
