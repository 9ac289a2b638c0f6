"""Tests the sources from which a daemon gets its configuration."""

from __future__ import annotations

import asyncio
import unittest

import configuration_fixture as fixture

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.daemon import chunk_source
from lavendershed.objects import codec
from lavendershed.telemetry import events


class Peer(chunk_source.ChunkSource):
    """A peer that serves the chunks of a daemon."""

    def __init__(self, daemon, corrupt=False):
        self.daemon = daemon
        self.corrupt = corrupt

    async def fetch_chunk(self, chunk_hash):
        chunk = self.daemon.state.chunk(chunk_hash)
        if chunk is None:
            return None
        return b"{}" if self.corrupt else codec.CHUNK_CODEC.encode(chunk)

    def manifest(self):
        """Returns the encoded manifest in force."""
        return codec.MANIFEST_CODEC.encode(self.daemon.state.manifest)


class ConfigurationSyncTest(unittest.IsolatedAsyncioTestCase):
    """Fails if an accepted epoch is not applied or an older one is."""

    async def asyncSetUp(self):
        self.simulation = fixture.ConfigurationSimulation()
        await self.simulation.create_presets()

    def start(self, daemon):
        task = asyncio.create_task(daemon.sync.run())
        self.addCleanup(task.cancel)
        return daemon

    def daemon(self, number=0, members=None):
        return fixture.Daemon(
            self.simulation.store, self.simulation.timers, members, number
        )

    async def test_watch_delivers_a_change_without_a_poll(self):
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        self.assertEqual(daemon.epochs, [2])
        await self.simulation.activate("peak")
        await self.simulation.run_until_idle()
        self.assertEqual(daemon.epochs, [2, 3])
        self.assertEqual(daemon.state.current.active_preset, "peak")

    async def test_watch_does_not_spin_on_another_key_or_a_deletion(self):
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        key = codec.MANIFEST_KEY
        stored = (await self.simulation.store.get(key)).unwrap()
        await self.simulation.store.delete(key, stored.version)
        await self.simulation.store.put(
            ids.ObjectKey(key + "-copy"), b"", object_store.IfAbsent()
        )
        before = self.simulation.store.calls.count(f"watch {key}")
        await self.simulation.run_until_idle()
        after = self.simulation.store.calls.count(f"watch {key}")
        self.assertLessEqual(after - before, 3)
        self.assertEqual(daemon.epochs, [2])

    async def test_poll_delivers_a_change_if_the_watch_hangs(self):
        async def hanging_watch(prefix, since, timeout):
            await asyncio.Event().wait()

        self.simulation.store.watch = hanging_watch
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        await self.simulation.activate("peak")
        await self.simulation.advance(2.25)
        self.assertEqual(daemon.epochs, [2, 3])

    async def test_change_after_an_outage_is_in_force_in_time(self):
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        self.simulation.store.set_unavailable(True)
        await self.simulation.advance(120.0)
        self.simulation.store.set_unavailable(False)
        await self.simulation.activate("peak")
        await self.simulation.advance(4.25)
        self.assertEqual(daemon.epochs, [2, 3])
        failures = daemon.events(events.Event.STORE_CALL_FAILED)
        self.assertEqual(len(failures), 1)

    async def test_outage_causes_few_calls(self):
        self.start(self.daemon())
        await self.simulation.run_until_idle()
        self.simulation.store.set_unavailable(True)
        await self.simulation.advance(20.0)
        before = len(self.simulation.store.calls)
        await self.simulation.advance(100.0)
        # A watch and a poll, each every 2 to 4 s.
        self.assertLessEqual(len(self.simulation.store.calls) - before, 100)

    async def test_daemon_starts_from_a_peer_while_the_store_is_down(self):
        running = self.start(self.daemon(1))
        await self.simulation.run_until_idle()
        self.simulation.store.set_unavailable(True)
        starting = self.start(self.daemon(2))
        broken = Peer(running, corrupt=True)
        good = Peer(running)
        starting.sync.add_source(broken)
        starting.sync.add_source(good)
        await self.simulation.run_until_idle()
        self.assertFalse(starting.state.ready)
        starting.sync.on_peer_epoch(ids.Epoch(2), good.manifest())
        await self.simulation.run_until_idle()
        self.assertEqual(starting.epochs, [2])

    async def test_missing_chunks_are_requested_until_they_arrive(self):
        running = self.start(self.daemon(1))
        await self.simulation.run_until_idle()
        self.simulation.store.set_unavailable(True)
        starting = self.start(self.daemon(2))
        # No source has the chunks of this manifest when it arrives.
        starting.sync.on_peer_epoch(ids.Epoch(2), Peer(running).manifest())
        await self.simulation.advance(10.0)
        self.assertEqual(starting.epochs, [])
        self.simulation.store.set_unavailable(False)
        await self.simulation.advance(4.25)
        self.assertEqual(starting.epochs, [2])

    async def test_old_epochs_of_peers_are_ignored(self):
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        old = Peer(daemon).manifest()
        await self.simulation.activate("peak")
        await self.simulation.run_until_idle()
        # The peer announces a newer epoch but delivers an old manifest.
        for epoch in (1, 2, 9):
            daemon.sync.on_peer_epoch(ids.Epoch(epoch), old)
        await self.simulation.advance(5.0)
        self.assertEqual(daemon.epochs, [2, 3])

    async def test_malformed_manifest_is_reported_once_and_replaced(self):
        daemon = self.start(self.daemon())
        await self.simulation.run_until_idle()
        key = codec.MANIFEST_KEY
        good = (await self.simulation.store.get(key)).unwrap()
        bad = await self.simulation.store.put(
            key, b'{"epoch": 9}', object_store.IfVersion(good.version)
        )
        await self.simulation.advance(20.0)
        self.assertEqual(daemon.epochs, [2])
        rejections = daemon.events(events.Event.CONFIGURATION_REJECTED)
        self.assertEqual(len(rejections), 1)
        await self.simulation.store.put(
            key, good.value, object_store.IfVersion(bad.unwrap())
        )
        await self.simulation.activate("peak")
        await self.simulation.run_until_idle()
        self.assertEqual(daemon.epochs, [2, 3])

    async def test_few_daemons_of_each_zone_watch_a_large_deployment(self):
        members = fixture.Members(730)
        daemons = [self.daemon(n, members) for n in range(730)]
        watching = [d for d in daemons if d.sync.is_watcher]
        self.assertEqual(len(watching), 3 * fixture.ZONES)
        polls = sum(1 / d.sync.poll_interval for d in daemons)
        self.assertLess(polls, 11)

    async def test_all_daemons_of_a_small_deployment_watch(self):
        members = fixture.Members(9)
        daemons = [self.daemon(n, members) for n in range(9)]
        self.assertTrue(all(d.sync.is_watcher for d in daemons))


if __name__ == "__main__":
    unittest.main()
