"""Tests the order of waiting requests under load patterns."""

from __future__ import annotations

import unittest

from lavendershed.admission import organisation_usage
from lavendershed.admission import waiting_order
from lavendershed.admission import waiting_queue
from lavendershed.admission import waiting_request
from lavendershed.core import ids
from lavendershed.core import units

LARGE = ids.OrganisationId("large")
SMALL = ids.OrganisationId("small")


def at(seconds):
    """Returns an instant."""
    return units.Instant(seconds)


def request(name, utility=10.0, engine_s=1.0, received=0.0, **changes):
    """Returns a waiting request whose first token is due after 4 s."""
    fields = {
        "organisation": None,
        "shortest_time": units.Seconds(engine_s / 10),
        "due_at": at(received + 4.0),
        "deadline": at(received + 15.0),
        "size": units.Bytes(1_000),
        **changes,
    }
    return waiting_request.WaitingRequest(
        id=ids.RequestId(name),
        utility=utility,
        engine_time=units.Seconds(engine_s),
        received_at=at(received),
        **fields,
    )


class WaitingQueueTest(unittest.TestCase):
    """Guards against capacity that goes to whichever request polls next."""

    def setUp(self):
        self.usage = organisation_usage.OrganisationUsage()
        self.queue = waiting_queue.WaitingQueue(
            waiting_order.ValueOrder(self.usage),
            waiting_queue.QueueLimits(4, units.Bytes(10_000)),
        )

    def order(self, now=0.0):
        return [r.id for r in self.queue.in_order(at(now))]

    def add(self, *requests, now=0.0):
        leaving = [self.queue.add(r, at(now)) for r in requests]
        return [r.id for requests in leaving for r in requests]

    def serve_all(self, arrivals, engines=1.0):
        """Serves `arrivals` one by one; returns the ids served on time.

        Args:
            arrivals: Requests in order of arrival.
            engines: Engines that work on one request at a time.
        """
        queue = waiting_queue.WaitingQueue(waiting_order.ValueOrder(self.usage))
        now, on_time, pending = 0.0, [], list(arrivals)
        while pending or queue.length:
            while pending and pending[0].received_at <= now:
                queue.add(pending.pop(0), at(now))
            waiting = queue.in_order(at(now))
            if not waiting:
                now = pending[0].received_at
                continue
            served = waiting[0]
            queue.remove(served.id)
            self.usage.record(served.organisation, served.engine_time, at(now))
            now += served.engine_time / engines
            if now <= served.due_at:
                on_time.append(served)
        return on_time

    def test_a_burst_is_served_by_value_and_not_by_arrival(self):
        """Guards against a burst in which every request is late.

        The load is 1.7 times the capacity for 10 s. In order of arrival, each
        request waits as long as the backlog, and all after the first are late.
        """
        arrivals = [
            request(
                f"r{n}",
                engine_s=1.0,
                received=n / 1.7,
                shortest_time=units.Seconds(1.0),
            )
            for n in range(17)
        ]
        on_time = {r.id for r in self.serve_all(arrivals)}
        # The engine is never idle, so that 10 to 14 can be on time.
        self.assertGreaterEqual(len(on_time), 12)

    def test_a_less_urgent_kind_yields_to_a_more_urgent_one(self):
        """Guards against kinds that pass a more urgent one of their service.

        The less urgent requests are worth ten times as much per engine time.
        """
        urgent = [request(f"u{n}", priority=1) for n in range(2)]
        others = [request(f"o{n}", utility=100.0, priority=2) for n in range(3)]
        dropped = self.add(*others, *urgent)
        self.assertEqual(self.order()[:2], ["u0", "u1"])
        self.assertEqual(dropped, ["o2"])

    def test_begun_streams_do_not_yield_to_urgent_requests(self):
        """Guards against streams that stall because of their priority."""
        self.add(
            request("new", priority=1),
            request("begun", priority=5, event_gap=units.Seconds(1.0)),
        )
        self.assertEqual(self.order(), ["begun", "new"])

    def test_requests_that_can_be_on_time_go_first(self):
        self.add(
            request("late", received=-10.0, deadline=at(60.0)),
            request("on time", received=-1.0),
        )
        self.assertEqual(self.order(), ["on time", "late"])

    def test_begun_streams_are_served_by_the_gaps_that_they_are_late(self):
        """Guards against streams that yield to new requests until they end."""
        self.add(
            request("new"),
            # Its next event was due at 1.0 s, long after its target latency.
            request("slow", due_at=at(1.0), event_gap=units.Seconds(1.0)),
            request("fast", due_at=at(1.1), event_gap=units.Seconds(0.1)),
            request("long", engine_s=10.0, due_at=at(1.1), event_gap=0.1),
        )
        self.assertEqual(self.order(1.1), ["slow", "fast", "new", "long"])
        self.assertEqual(self.order(2.0), ["fast", "slow", "new", "long"])
        self.assertEqual(self.order(5.0), ["fast", "slow", "long", "new"])

    def test_huge_prompts_are_ordered_by_value_per_engine_time(self):
        """Guards against one prompt that makes several others late."""
        self.add(
            request("million", utility=60.0, engine_s=40.0),
            request("long", utility=20.0, engine_s=3.0),
        )
        self.assertEqual(self.order(), ["long", "million"])

    def test_a_large_organisation_leaves_room_for_small_ones(self):
        """Guards against one organisation that takes all capacity."""
        arrivals = sorted(
            [
                *(
                    request(f"l{n}", received=n * 0.5, organisation=LARGE)
                    for n in range(30)
                ),
                *(
                    request(f"s{n}", received=n * 3.0, organisation=SMALL)
                    for n in range(5)
                ),
            ],
            key=lambda r: r.received_at,
        )
        on_time = self.serve_all(arrivals)
        small = sum(r.organisation == SMALL for r in on_time)
        self.assertGreaterEqual(small, 4)

    def test_a_full_queue_drops_what_is_worth_least(self):
        """Guards against memory that waiting requests fill."""
        self.add(*(request(f"r{n}") for n in range(4)))
        self.assertEqual(self.add(request("cheap", utility=1.0)), ["cheap"])
        (dropped,) = self.add(request("dear", utility=50.0))
        self.assertNotEqual(dropped, "dear")
        self.assertEqual(self.queue.length, 4)

    def test_the_size_of_waiting_requests_is_bounded(self):
        self.add(request("a", size=units.Bytes(6_000)))
        dropped = self.add(request("b", size=units.Bytes(6_000)))
        self.assertEqual(len(dropped), 1)

    def test_usage_decays(self):
        self.usage.record(LARGE, units.Seconds(10.0), at(0.0))
        self.usage.record(SMALL, units.Seconds(10.0), at(10.0))
        self.assertAlmostEqual(self.usage.share(LARGE, at(10.0)), 0.2)


if __name__ == "__main__":
    unittest.main()
