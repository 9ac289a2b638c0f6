"""Tests entries of the server list that another writer has left.

Guards against daemons that end, or stop following the list, because of one odd
entry among those of the engines.
"""

from __future__ import annotations

import asyncio
import unittest

import orjson
import platform_case

from lavendershed.core import units

APPLY_TIME = units.Seconds(2.0)
# Calls of a daemon in the time in which the checks below are made.
MAX_CALLS = 10
METADATA = b'{"name":"odd","revision":7}'
ENTRY = {
    "service": platform_case.MODEL_SERVICE,
    "address": "10.0.0.9:80",
    "zone": "a",
    "state": "ready",
    "born": 1,
}


def entry(**changes):
    """Returns an entry with some other values."""
    return orjson.dumps({**ENTRY, **changes})


def stored(spec, metadata=METADATA):
    """Returns the JSON bytes of an object."""
    return b'{"metadata":%s,"spec":%s}' % (metadata, spec)


def nested(depth):
    """Returns an entry with nested arrays."""
    return b'{"service":%s}' % (b"[" * depth + b"]" * depth)


ODD_OBJECTS = {
    "nested 300 deep": stored(nested(300)),
    "nested 5,000 deep": stored(nested(5_000)),
    "nested in its metadata": stored(
        entry(), b'{"name":"odd","revision":1,"x":%s}' % nested(5_000)
    ),
    "port of 5,000 digits": stored(entry(address="10.0.0.9:" + "8" * 5_000)),
    "port out of range": stored(entry(address="10.0.0.9:65536")),
    "infinite number": stored(b'{"service":"model","seq":1e999}'),
    "large number": stored(b'{"service":"model","born":%s}' % (b"9" * 400)),
    "large incarnation": stored(entry(born=1e300)),
    "bytes that are not UTF-8": stored(b'{"service":"\xff\xfe"}'),
    "no metadata": b'{"spec":%s}' % entry(),
    "no spec": b'{"metadata":%s}' % METADATA,
    "no name": stored(entry(), b'{"revision":7}'),
    "name of another type": stored(entry(), b'{"name":5,"revision":7}'),
    "long name": stored(entry(), b'{"name":"%s"}' % (b"n" * 100_000)),
    "revision of another type": stored(
        entry(address=5), b'{"name":"odd","revision":"7"}'
    ),
    "large revision": stored(
        entry(address=5), b'{"name":"odd","revision":%s}' % (b"9" * 30)
    ),
    "not an object": b"5",
}


class OddEntryTest(platform_case.PlatformCase):
    """One odd entry is written; sound ones follow it."""

    def accepting(self, daemon):
        view = daemon.parts.components.context.view
        return {
            e.id
            for e in view.directory.servers_accepting_work(
                platform_case.MODEL_SERVICE
            )
        }

    async def test_sound_entries_beside_an_odd_one_hold(self):
        """In watches first, then in the listing of a daemon that starts."""
        for number, (name, encoded) in enumerate(ODD_OBJECTS.items(), 2):
            with self.subTest(odd=name):
                self.store.put_odd("servers", f"odd-{number}", encoded)
                self.engines.append(await self.add_engine(f"e-{number}"))
                sound = {engine.id for engine in self.engines}
                calls = self.store.calls
                await self.wait_until(
                    lambda sound=sound: self.accepting(self.daemon) == sound,
                    APPLY_TIME,
                )
                await asyncio.sleep(0.3)
                self.assertLessEqual(self.store.calls - calls, MAX_CALLS)
                self.assertFalse(self.daemon.task.done())
        started = await self.start_daemon(ready=False)
        sound = {engine.id for engine in self.engines}
        await self.wait_until(
            lambda: self.accepting(started) == sound, APPLY_TIME
        )

    async def test_a_server_whose_entry_becomes_odd_is_not_used(self):
        self.store.put_odd(
            "servers", "e-1", stored(nested(5_000), b'{"name":"e-1"}')
        )
        await self.wait_until(
            lambda: self.accepting(self.daemon) == {"e-0"}, APPLY_TIME
        )

    async def test_peers_get_the_list_with_an_odd_entry(self):
        """The entry can't be encoded again, or not as a number."""
        self.store.put_odd("servers", "odd", ODD_OBJECTS["large revision"])
        self.store.put_odd("servers", "other", ODD_OBJECTS["nested 300 deep"])
        self.engines.append(await self.add_engine("e-2"))
        await self.wait_until(
            lambda: "e-2" in self.accepting(self.daemon), APPLY_TIME
        )
        other = await self.start_daemon(
            (self.daemon.peer_address,), ready=False, store=self.dead_address
        )
        await self.wait_until(
            lambda: self.accepting(other) == self.accepting(self.daemon)
        )

    @property
    def dead_address(self):
        """An address at which no store listens."""
        return platform_case.loopback.own_network().free_address()


if __name__ == "__main__":
    unittest.main()
