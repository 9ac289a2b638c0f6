"""Tests when daemons call the store."""

from __future__ import annotations

import asyncio
import random
import unittest

import result

from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watcher
from lavendershed.membership import freshness
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.telemetry import unexpected_errors
from lavendershed.transport import event_loop_timers

ERA = 1


def at(number, era=ERA):
    """Returns a revision of the store."""
    return store_revisions.of(era, number)


class FakeSource(codecs.ObjectSource):
    """Counts the calls; its watches never report a change."""

    def __init__(self):
        self.lists = 0
        self.watched_from = []
        self.checked_from = []
        self.check_result = None
        self.watch_result = None
        self.first_watch_result = None

    async def list(self):
        self.lists += 1
        return result.Ok(((), at(50)))

    async def watch(self, revision, timeout):
        self.watched_from.append(revision)
        if self.first_watch_result and len(self.watched_from) == 1:
            return self.first_watch_result
        if self.watch_result:
            return self.watch_result
        await asyncio.sleep(timeout)
        return result.Ok(((), (), revision))

    async def changes_since(self, revision):
        self.checked_from.append(revision)
        return self.check_result or result.Ok(((), (), revision))


class FakeView:
    """A view that a peer may complete."""

    def __init__(self):
        self.complete = False
        self.listings = 0
        self.freshness = freshness.Freshness()
        self.removed = []

    def freshness_of(self, kind):
        return self.freshness

    async def wait_complete(self, timeout):
        await asyncio.sleep(min(timeout, 0.05))
        return self.complete

    def revision(self, kind):
        return at(40) if self.complete else store_revisions.NONE

    def age_ms(self, kind, now):
        return round(self.freshness.age(now) * 1_000)

    def on_store_confirmed(self, kind, revision, at):
        self.freshness.confirm(at)

    on_store_checked = on_store_confirmed

    def on_listing(self, kind, objects, revision, now):
        self.listings += 1

    def on_events(self, kind, changed, removed, revision, now):
        self.removed += removed


class FakeRole:
    """A role that the test sets."""

    is_watching = True


class WatcherCase(unittest.IsolatedAsyncioTestCase):
    """Runs a watcher for a short time."""

    async def asyncSetUp(self):
        self.source, self.view, self.role = FakeSource(), FakeView(), FakeRole()

    async def watch(self, first_call_delay=0.0, seconds=0.1):
        loop = asyncio.get_running_loop()
        self.log = log.MemoryEventLog()
        self.errors = []
        watcher = store_watcher.ObjectWatcher(
            codecs.ObjectKind.SERVERS,
            self.source,
            self.view,
            store_availability.StoreAvailability(),
            self.role,
            event_loop_timers.EventLoopTimerService(loop),
            self.log,
            unexpected_errors.ErrorRecorder(self.log, self.errors.append),
            random.Random(1),
            units.Seconds(first_call_delay),
        )
        task = loop.create_task(watcher.run())
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class ObjectWatcherTest(WatcherCase):
    """Guards against calls to the store that grow with the fleet."""

    async def test_a_daemon_lists_and_then_watches(self):
        await self.watch()
        self.assertEqual(self.source.lists, 1)
        self.assertEqual(self.source.watched_from, [at(50)])

    async def test_a_daemon_without_the_role_lists_only(self):
        self.role.is_watching = False
        await self.watch()
        self.assertEqual(self.source.lists, 1)
        self.assertEqual(self.source.watched_from, [])

    async def test_state_of_a_peer_replaces_the_listing(self):
        """Guards against listings of all daemons of a new deployment.

        195 daemons made 1,195 calls before the first request of a day.
        """
        self.view.complete = True
        await self.watch(first_call_delay=4.0)
        self.assertEqual(self.source.lists, 0)
        self.assertEqual(self.source.watched_from, [at(40)])


class LostHistoryTest(WatcherCase):
    """Guards against a store that is asked in a loop, whatever it answers."""

    SECONDS = 2.0

    async def test_a_history_that_is_always_gone_is_asked_for_ever_less(self):
        """Each listing succeeds, and each watch finds its history gone."""
        self.source.watch_result = result.Err(codecs.SourceError.HISTORY_GONE)
        await self.watch(seconds=self.SECONDS)
        self.assertLessEqual(len(self.source.watched_from), 8)
        self.assertLessEqual(self.source.lists, 8)

    async def test_a_history_that_is_gone_once_is_replaced_at_once(self):
        """Changes have to take effect in time after a compaction, too."""
        self.source.first_watch_result = result.Err(
            codecs.SourceError.HISTORY_GONE
        )
        await self.watch(seconds=0.1)
        self.assertEqual(self.source.lists, 2)


class SilentWatchTest(WatcherCase):
    """Guards against changes that a watch hides by its silence."""

    # Longer than the greatest age without a check, and shorter than two.
    SECONDS = 1.6

    async def test_a_check_finds_what_a_silent_watch_hides(self):
        removal = ((), ("i-1",), at(60))
        self.source.check_result = result.Ok(removal)
        await self.watch(seconds=self.SECONDS)
        self.assertEqual(self.source.checked_from, [at(50)])
        self.assertEqual(self.view.removed, ["i-1"])
        self.assertEqual(self.source.watched_from, [at(50), at(60)])
        ((event, fields),) = [
            record
            for record in self.log.records
            if record[0] is not events.Event.STORE_READ
        ]
        self.assertIs(event, events.Event.STORE_WATCH_SILENT)
        self.assertGreaterEqual(fields["age_ms"], 1_000)

    async def test_a_watch_goes_on_if_nothing_has_changed(self):
        await self.watch(seconds=self.SECONDS)
        self.assertEqual(self.source.checked_from, [at(50)])
        self.assertEqual(self.source.watched_from, [at(50)])

    async def test_state_of_a_peer_is_checked_too(self):
        """A daemon that has just started has asked the store nothing yet."""
        self.view.complete = True
        await self.watch(first_call_delay=4.0, seconds=self.SECONDS)
        self.assertEqual(self.source.checked_from, [at(40)])

    async def test_a_failed_check_replaces_the_watch(self):
        self.source.check_result = result.Err(codecs.SourceError.TIMED_OUT)
        await self.watch(seconds=self.SECONDS)
        self.assertGreaterEqual(len(self.source.watched_from), 2)

    async def test_confirmations_of_peers_replace_checks(self):
        """Guards against calls to the store that grow with the fleet."""
        loop = asyncio.get_running_loop()

        async def confirm():
            while True:
                self.view.freshness.confirm(units.Instant(loop.time()))
                await asyncio.sleep(0.4)

        peers = loop.create_task(confirm())
        await self.watch(seconds=self.SECONDS)
        peers.cancel()
        self.assertEqual(self.source.checked_from, [])

    async def test_a_daemon_that_loses_the_role_does_not_check(self):
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, setattr, self.role, "is_watching", False)
        await self.watch(seconds=self.SECONDS)
        self.assertEqual(self.source.checked_from, [])


if __name__ == "__main__":
    unittest.main()
