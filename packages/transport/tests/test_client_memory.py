"""Tests who keeps and who gives up memory when callers hold too much."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavendershed.core import units
from lavendershed.transport import client_memory

Standing = client_memory.Standing
CONNECTION = client_memory.CONNECTION_BYTES
PATIENCE = client_memory.PATIENCE
LIMIT = 1_000_000


class Holder(client_memory.Holder):
    """A connection that only records that it was given up."""

    def __init__(self):
        self.given_up = None

    def refresh(self):
        """Nothing is taken of its response."""

    def give_up(self, standing):
        self.given_up = standing


class MemoryCase(unittest.TestCase):
    """Offers a memory with a clock that the test sets."""

    def setUp(self):
        self.now = 100.0
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(units.Bytes(LIMIT), 50)
        )

    def open(self, address="a", memory=None):
        return (memory or self.memory).open(Holder(), address, self.now)

    def hold(self, standing, size, address="a"):
        """Opens a connection that holds a message."""
        account = self.open(address)
        self.assertTrue(account.update(standing, size, self.now))
        return account

    def grow(self, account, size, standing=Standing.RECEIVING):
        account.progress(self.now)
        return account.update(standing, size, self.now)

    def assert_given_up(self, *accounts):
        """Fails if others than these were given up."""
        self.assertEqual(
            sum(self.memory.given_up.values()), len(accounts), accounts
        )
        for account in accounts:
            self.assertTrue(account.closed)
            self.assertIsNotNone(account.holder.given_up)


class ClientMemoryTest(MemoryCase):
    """Guards against crowds that take what all others need."""

    def test_nobody_is_given_up_in_calm(self):
        accounts = [self.open() for _ in range(50)]
        self.now += 1_000.0
        for account in accounts:
            self.assertTrue(self.grow(account, 10_000))
        self.assert_given_up()

    def test_who_stalls_goes_before_who_has_just_come(self):
        stalled = self.hold(Standing.RECEIVING, 500_000)
        self.now += PATIENCE[Standing.RECEIVING]
        recent = self.hold(Standing.RECEIVING, 300_000)
        self.assertTrue(self.grow(self.open(), 400_000))
        self.assert_given_up(stalled)
        self.assertFalse(recent.closed)

    def test_one_that_asks_for_much_is_refused_if_all_make_progress(self):
        self.hold(Standing.RECEIVING, 500_000)
        asking = self.open()
        self.assertFalse(self.grow(asking, 600_000))
        self.assertEqual(asking.size, CONNECTION)
        self.assertEqual(self.memory.refused, 1)
        self.assert_given_up()

    def test_a_small_request_takes_the_place_of_a_large_unfinished_one(self):
        """Guards against a crowd in its first second refusing all others."""
        large = self.hold(Standing.RECEIVING, 960_000)
        small = self.open()
        self.assertTrue(self.grow(small, 20_000))
        self.assertTrue(self.grow(small, 70_000, Standing.SERVED))
        self.assert_given_up(large)

    def test_a_complete_request_takes_the_place_of_an_unfinished_one(self):
        """Guards against a crowd of small requests that never end."""
        crowd = [self.hold(Standing.RECEIVING, 40_000) for _ in range(20)]
        complete = self.open()
        self.assertFalse(self.grow(complete, 70_000))
        self.now += 1.0 - 0.5
        self.assertTrue(self.grow(complete, 70_000, Standing.SERVED))
        self.assert_given_up(*(a for a in crowd if a.closed))
        self.assertLessEqual(sum(a.closed for a in crowd), 2)

    def test_a_refused_part_does_not_refuse_a_complete_request(self):
        """Guards against a failed search that stands for other searches."""
        crowd = [self.hold(Standing.RECEIVING, 40_000) for _ in range(20)]
        # None of the crowd is larger.
        self.assertFalse(self.grow(self.open(), 40_000))
        self.assertTrue(self.grow(self.open(), 70_000, Standing.SERVED))
        self.assert_given_up(*(a for a in crowd if a.closed))

    def test_a_refused_connection_does_not_refuse_a_complete_request(self):
        complete = self.open()
        crowd = [self.hold(Standing.RECEIVING, 11_000) for _ in range(49)]
        self.assertIsNone(self.open())
        self.assertTrue(self.grow(complete, 70_000, Standing.SERVED))
        self.assert_given_up(*(a for a in crowd if a.closed))

    def test_a_byte_now_and_then_does_not_keep_a_connection(self):
        """Guards against crowds that send too little to be without progress."""
        slow = [self.open() for _ in range(45)]
        fast = [self.open() for _ in range(5)]
        for _ in range(10):
            self.assertIsNone(self.open())
            self.now += 0.2
            for account, moved in [
                *((account, 1) for account in slow),
                *((account, 10_000) for account in fast),
            ]:
                account.progress(self.now, moved)
                account.update(Standing.RECEIVING, 100, self.now)
            if self.now - 100.0 > PATIENCE[Standing.RECEIVING] + 0.2:
                break
        self.assertIsNotNone(self.open())
        self.assert_given_up(*(a for a in slow if a.closed))

    def test_small_slow_requests_give_way_to_a_complete_one(self):
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(units.Bytes(660_000), 50)
        )
        slow = [self.hold(Standing.RECEIVING, 5_000) for _ in range(49)]
        self.now += PATIENCE[Standing.RECEIVING]
        for account in slow:
            account.progress(self.now, 1)
        self.assertTrue(self.grow(self.open(), 70_000, Standing.SERVED))
        self.assert_given_up(*(a for a in slow if a.closed))

    def test_the_slowest_reader_gives_way_to_a_complete_request(self):
        readers = [self.hold(Standing.UNREAD, 200_000) for _ in range(4)]
        self.now += PATIENCE[Standing.UNREAD]
        for rate, account in enumerate(readers, 1):
            account.progress(self.now, 1_000 * rate)
        self.assertTrue(self.grow(self.open(), 90_000, Standing.SERVED))
        self.assertTrue(self.grow(self.open(), 90_000, Standing.SERVED))
        self.assert_given_up(readers[0])

    def test_requests_that_are_handled_are_never_given_up(self):
        served = self.hold(Standing.SERVED, 900_000)
        self.now += 1_000.0
        self.assertFalse(self.grow(self.open(), 200_000))
        self.assertFalse(served.closed)

    def test_each_standing_has_its_turn(self):
        """Kept connections, whose callers were told so, go last."""
        order = [s for s in Standing if s is not Standing.SERVED]
        accounts = [self.hold(s, 100_000) for s in reversed(order)]
        self.now += 1_000.0
        ended = []
        for size in range(400_000, 900_000, 10_000):
            asking = self.open()
            self.grow(asking, size)
            ended += [
                a.standing for a in accounts if a.closed and a not in ended
            ]
            accounts = [a for a in accounts if not a.closed]
            asking.close()
        self.assertEqual(ended, order)

    def test_the_address_that_holds_the_most_gives_up_first(self):
        quiet = self.hold(Standing.KEPT, 100_000, "quiet")
        crowd = [self.hold(Standing.KEPT, 200_000, "crowd") for _ in range(4)]
        self.now += 1_000.0
        self.assertTrue(self.grow(self.open("other"), 200_000))
        self.assertFalse(quiet.closed)
        self.assertTrue(crowd[0].closed)

    def test_connections_are_given_up_after_their_patience_only(self):
        accounts = [self.open() for _ in range(50)]
        self.assertIsNone(self.open())
        self.assert_given_up()
        self.now += PATIENCE[Standing.UNUSED]
        accounts[0].progress(self.now)
        self.assertIsNotNone(self.open())
        self.assert_given_up(*accounts[1:4])

    def test_without_patience_the_latest_question_is_always_taken(self):
        """Guards the platform's readiness question against a crowd."""
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(
                units.Bytes(LIMIT), 50, client_memory.NO_PATIENCE
            )
        )
        for number in range(500):
            self.now += 0.0001
            account = self.open()
            self.assertIsNotNone(account, number)
            self.assertTrue(self.grow(account, 20_000, Standing.SERVED))
            self.assertTrue(self.grow(account, 100, Standing.UNREAD))

    def test_a_search_without_result_is_not_repeated_at_once(self):
        """Guards against a search for each byte of a crowd at the limit."""
        searches = []
        holder = Holder()
        holder.refresh = lambda: searches.append(self.now)
        asking = self.memory.open(holder, "a", self.now)
        self.hold(Standing.SERVED, 900_000)
        for _ in range(100):
            self.now += 0.001
            self.assertFalse(self.grow(asking, 200_000))
        self.assertLessEqual(len(searches), 2)


class AnyOrder(stateful.RuleBasedStateMachine):
    """Fails if any order of events exceeds a limit or keeps something."""

    def __init__(self):
        super().__init__()
        self.memory = client_memory.ClientMemory(
            client_memory.ClientLimits(units.Bytes(200_000), 12)
        )
        self.now = 0.0
        self.accounts = []

    def some(self, data):
        return data.draw(strategies.sampled_from(self.accounts))

    @stateful.rule(address=strategies.sampled_from("abc"))
    def open(self, address):
        account = self.memory.open(Holder(), address, self.now)
        if account is not None:
            self.accounts.append(account)

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(
        data=strategies.data(),
        standing=strategies.sampled_from(Standing),
        size=strategies.integers(0, 250_000),
    )
    def send_or_take(self, data, standing, size):
        account = self.some(data)
        served = {a for a in self.accounts if a.standing is Standing.SERVED}
        before = account.size
        account.progress(self.now)
        granted = account.update(standing, size, self.now)
        if not account.closed:
            expected = CONNECTION + size if granted else before
            assert account.size == expected
        # Those that were given up are told, and no served one is.
        for other in served - {account}:
            assert other.holder.given_up is None

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 250_000))
    def take(self, data, size):
        account = self.some(data)
        before = account.size
        account.reduce(Standing.UNREAD, size)
        assert account.size <= before

    @stateful.rule(seconds=strategies.floats(0.0, 4.0))
    def stall(self, seconds):
        self.now += seconds

    @stateful.precondition(lambda self: self.accounts)
    @stateful.rule(data=strategies.data())
    def close(self, data):
        account = self.some(data)
        self.accounts.remove(account)
        account.close()
        account.close()

    @stateful.invariant()
    def limits_hold(self):
        open_accounts = [a for a in self.accounts if not a.closed]
        assert self.memory.used <= self.memory.limits.memory
        assert self.memory.connections <= self.memory.limits.connections
        assert self.memory.connections == len(open_accounts)
        assert self.memory.used == sum(a.size for a in open_accounts)
        assert all(
            a.closed == (a.holder.given_up is not None) for a in self.accounts
        )

    def teardown(self):
        for account in self.accounts:
            account.close()
        assert self.memory.used == 0
        assert self.memory.connections == 0


AnyOrderTest = AnyOrder.TestCase
AnyOrderTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


if __name__ == "__main__":
    unittest.main()
