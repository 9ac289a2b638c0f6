"""Base class of servers that send bytes of their own choice."""

from __future__ import annotations

import abc
import asyncio

from lavendershed.transport import address as address_module


class RawServer(abc.ABC):
    """Accepts connections and reads requests; the rest is up to the test."""

    def __init__(self, server_id):
        self.id = server_id
        self.address = None
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = address_module.Address(host, port)

    def close(self):
        self._server.close()

    @abc.abstractmethod
    async def serve(self, reader, writer):
        """Serves one connection until it ends."""

    async def read_request(self, reader):
        """Reads one request; returns its headers."""
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if b": " in line
        )
        await reader.readexactly(int(fields.get(b"content-length", 0)))
        return fields

    async def _accept(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            # The daemon has closed the connection.
            return
        finally:
            writer.close()
