"""Tests when daemons call the store."""

from __future__ import annotations

import asyncio
import random
import unittest

import result

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.forwarding import store_availability
from lavendershed.forwarding import store_watcher
from lavendershed.membership import freshness
from lavendershed.telemetry import log
from lavendershed.transport import event_loop_timers


class FakeSource(codecs.ObjectSource):
    """Counts the calls and never reports a change."""

    def __init__(self):
        self.lists = 0
        self.watched_from = []

    async def list(self):
        self.lists += 1
        return result.Ok(((), ids.ObjectVersion(50)))

    async def watch(self, revision, timeout):
        self.watched_from.append(revision)
        await asyncio.sleep(timeout)
        return result.Ok(((), (), revision))


class FakeView:
    """A view that a peer may complete."""

    def __init__(self):
        self.complete = False
        self.listings = 0
        self.freshness = freshness.Freshness()

    def freshness_of(self, kind):
        return self.freshness

    async def wait_complete(self, timeout):
        await asyncio.sleep(min(timeout, 0.05))
        return self.complete

    def revision(self, kind):
        return ids.ObjectVersion(40 if self.complete else 0)

    def on_server_listing(self, objects, revision, now):
        self.listings += 1


class FakeRole:
    """A role that the test sets."""

    is_watching = True


class ObjectWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls to the store that grow with the fleet."""

    async def asyncSetUp(self):
        self.source, self.view, self.role = FakeSource(), FakeView(), FakeRole()

    async def watch(self, first_call_delay=0.0):
        loop = asyncio.get_running_loop()
        watcher = store_watcher.ObjectWatcher(
            codecs.ObjectKind.SERVERS,
            self.source,
            self.view,
            store_availability.StoreAvailability(),
            self.role,
            event_loop_timers.EventLoopTimerService(loop),
            log.MemoryEventLog(),
            random.Random(1),
            units.Seconds(first_call_delay),
        )
        task = loop.create_task(watcher.run())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_a_daemon_lists_and_then_watches(self):
        await self.watch()
        self.assertEqual(self.source.lists, 1)
        self.assertEqual(self.source.watched_from, [50])

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
        self.assertEqual(self.source.watched_from, [40])


if __name__ == "__main__":
    unittest.main()
