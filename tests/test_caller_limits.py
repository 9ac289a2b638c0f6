"""Tests the limits of callers' connections that the configuration sets."""

from __future__ import annotations

import asyncio
import unittest

import platform_case

SLOW_PARTS = 5


def limited(version, **limits):
    """Returns a configuration with other limits."""
    changed = platform_case.configuration(version)
    changed["limits"] |= limits
    return changed


class CallerLimitsTest(platform_case.PlatformCase):
    """Fails if a limit of the configuration is used for something else."""

    async def apply(self, version, **limits):
        self.store.put("config", "main", limited(version, **limits))
        view = self.daemon.parts.components.context.view
        await self.wait_until(lambda: view.version == version)

    async def send_slowly(self, pause):
        """Sends a head and a body in parts; returns the response."""
        reader, writer = await asyncio.open_connection(
            self.daemon_address.host, self.daemon_address.port
        )
        head = (
            f"POST /safe/x HTTP/1.1\r\nhost: {platform_case.HOST}\r\n"
            f"x-api-key: {platform_case.KEY}\r\nattempt-id: slow\r\n"
            f"content-length: {SLOW_PARTS}\r\n\r\n"
        ).encode()
        for part in (head[:30], head[30:], *(b"x" for _ in range(SLOW_PARTS))):
            writer.write(part)
            await asyncio.sleep(pause)
        async with asyncio.timeout(platform_case.TIMEOUT):
            response = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return response.lower()

    async def test_a_low_idle_limit_cuts_no_request_that_is_sent_slowly(self):
        await self.apply(2, idle_timeout_ms=200, header_timeout_ms=2_000)
        # Longer than any delay with which the limits may be applied.
        await asyncio.sleep(0.7)
        response = await self.send_slowly(0.25)
        self.assertTrue(response.startswith(b"http/1.1 200"))
        self.assertNotIn(b"keep-alive", response)

    async def test_limits_are_in_force_with_their_configuration(self):
        connection = await self.connect()
        for version, seconds in ((2, 20), (3, 7)):
            await self.apply(version, idle_timeout_ms=seconds * 1_000)
            response = await self.exchange(connection, "/safe/x")
            self.assertEqual(
                response.head.header("keep-alive"), f"timeout={seconds}"
            )
            connection.start_next_exchange()
        connection.close()

    async def test_a_head_that_stays_incomplete_ends_at_its_limit(self):
        await self.apply(2, header_timeout_ms=200)
        response = await self.send_slowly(0.3)
        self.assertTrue(response.startswith(b"http/1.1 408"))


if __name__ == "__main__":
    unittest.main()
