"""Tests what is recorded of the pauses of a stream."""

from __future__ import annotations

import unittest
from unittest import mock

from lavendershed.core import units
from lavendershed.forwarding import stream_delivery


class LongestGapTest(unittest.IsolatedAsyncioTestCase):
    """Guards against pauses whose cause the log does not show."""

    async def deliver(self, *event_times):
        context = mock.Mock()
        request = mock.Mock(received_at=units.Instant(0.0))
        delivery = stream_delivery.StreamDelivery(
            context, request, mock.AsyncMock()
        )
        for at in event_times:
            context.timers.now.return_value = units.Instant(at)
            await delivery.forward(None, mock.Mock(), ())
        return delivery

    async def test_events_after_a_lost_packet_come_together(self):
        delivery = await self.deliver(0.1, 0.15, 0.4, 0.4, 0.45)
        self.assertAlmostEqual(delivery.longest_event_gap, 0.25)
        self.assertAlmostEqual(delivery.gap_after_longest, 0.0)

    async def test_an_engine_goes_on_at_its_pace_after_a_prefill(self):
        delivery = await self.deliver(0.1, 0.15, 0.4, 0.45, 0.5)
        self.assertAlmostEqual(delivery.gap_after_longest, 0.05)

    async def test_a_stream_may_end_with_its_longest_gap(self):
        delivery = await self.deliver(0.1, 0.15, 0.4)
        self.assertIsNone(delivery.gap_after_longest)


if __name__ == "__main__":
    unittest.main()
