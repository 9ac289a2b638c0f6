"""UDP transport between daemons."""

from __future__ import annotations

import asyncio
import socket
import typing

from lavendershed.membership import messages
from lavendershed.membership import peers
from lavendershed.membership import records
from lavendershed.peer import envelope as envelope_module
from lavendershed.transport import address as address_module


class UdpTransport(asyncio.DatagramProtocol, peers.DatagramSender):
    """Sends and receives datagrams on one socket."""

    def __init__(
        self,
        envelope: envelope_module.EnvelopeCodec,
        receiver: peers.DatagramReceiver,
    ) -> None:
        self._envelope = envelope
        self._receiver = receiver
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far, without UDP and IP headers."""
        return self._sent_bytes

    async def start(self, address: address_module.Address) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((address.host, address.port))
        except OSError:
            sock.close()
            raise
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self, recipient: records.PeerAddress, message: messages.Message
    ) -> None:
        """Sends one message; drops it if the datagram would be too long."""
        if self._transport is None:
            return
        parsed = address_module.parse(recipient)
        datagram = self._envelope.encode_datagram(message)
        if (
            parsed.is_err()
            or len(datagram) > envelope_module.MAX_DATAGRAM_BYTES
        ):
            return
        peer = parsed.unwrap()
        self._sent_bytes += len(datagram)
        self._transport.sendto(datagram, (peer.host, peer.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The selector event loop of Python 3.11 passes a transport that has the
        # methods of a DatagramTransport but is not a subclass of it.
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Passes an authentic message to the receiver."""
        message = self._envelope.decode_datagram(data)
        if message is not None:
            self._receiver.on_datagram(message)

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors, such as from a peer that does not listen."""
