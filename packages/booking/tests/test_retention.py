"""Guards booking records against deletion before their retention ends."""

from __future__ import annotations

import unittest

from lavendershed.booking import retention
from lavendershed.core import ids
from lavendershed.core import units

LIMITS = retention.RetentionLimits(units.Seconds(10.0), 3)


class RetentionClockTest(unittest.TestCase):
    """Fails if a record expires too early or is kept too long."""

    def test_records_expire_after_all_ticks_and_not_before(self):
        clock = retention.RetentionClock(LIMITS)
        now, version = 0.0, 1
        record = retention.ClockRecord()
        clock.on_clock(record, ids.ObjectVersion(version), units.Instant(now))
        written_at, written_as = now + 1.0, ids.ObjectVersion(version + 1)
        while not clock.is_expired(written_as):
            self.assertLess(now, 1_000.0)
            now += 4.0
            record = clock.next_record(units.Instant(now))
            if record is not None:
                version += 10
                clock.on_clock(
                    record, ids.ObjectVersion(version), units.Instant(now)
                )
        self.assertGreaterEqual(now - written_at, LIMITS.retention)
        self.assertLessEqual(now - written_at, LIMITS.retention * 2)

    def test_another_daemons_tick_restarts_the_interval(self):
        clock = retention.RetentionClock(LIMITS)
        record = retention.ClockRecord()
        clock.on_clock(record, ids.ObjectVersion(1), units.Instant(0.0))
        clock.on_clock(record, ids.ObjectVersion(2), units.Instant(9.0))
        self.assertIsNone(clock.next_record(units.Instant(18.0)))
        self.assertIsNotNone(clock.next_record(units.Instant(19.0)))


if __name__ == "__main__":
    unittest.main()
