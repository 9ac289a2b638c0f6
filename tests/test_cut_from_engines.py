"""Tests that callers of a daemon without links to the engines are served."""

from __future__ import annotations

import asyncio
import unittest

import platform_case

DAEMONS = 3
# Time in which a daemon has to notice that its links are cut.
NOTICE_S = 2.0
# Share of first attempts that the daemon has to serve of those that others do.
MIN_SERVED_SHARE = 2 / 3


class CutCase(platform_case.PlatformCase):
    """Daemons that know each other; the first one loses its links."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(2, 6):
            self.engines.append(await self.add_engine(f"e-{number}"))
        self.fleet = [self.daemon]
        for _ in range(DAEMONS - 1):
            self.fleet.append(
                await self.start_daemon(seeds=(self.daemon.peer_address,))
            )
        await self.wait_until(
            lambda: all(
                daemon.parts.peers.fleet_size == DAEMONS
                for daemon in self.fleet
            )
        )

    async def send(self, path, number, daemon=None):
        size = {"token_count": "1000,100"} if path == "/stream/x" else {}
        return await self.request(
            path,
            f"request {number}".encode(),
            (daemon or self.daemon).caller_address,
            **size,
        )

    async def send_all(self, count=12):
        """Sends requests of all kinds; returns their statuses."""
        paths = ("/stream/x", "/safe/x", "/unsafe/x")
        responses = await asyncio.gather(
            *(self.send(paths[n % 3], n) for n in range(count))
        )
        return [response.head.status for response in responses]

    async def cut(self, **how):
        for name, value in how.items():
            setattr(self.daemon.links, name, value)
        # Some requests meet the cut before it is known.
        await self.send_all(3)
        await asyncio.sleep(NOTICE_S)


class CutFromEnginesTest(CutCase):
    """Fails if callers of a daemon that is cut from the engines are refused."""

    async def assert_served(self):
        statuses = await self.send_all()
        self.assertGreaterEqual(
            statuses.count(200), MIN_SERVED_SHARE * len(statuses)
        )

    async def test_connections_that_hang(self):
        await self.cut(hang=True)
        await self.assert_served()

    async def test_connections_that_are_refused(self):
        await self.cut(refuse=True)
        await self.assert_served()


if __name__ == "__main__":
    unittest.main()
