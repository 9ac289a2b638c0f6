"""Loopback addresses that no other process of a test run uses."""

from __future__ import annotations

import functools
import itertools
import random
import socket

from lavendershed.transport import address as address_module

# Bound on the first host of a network for as long as the process lives, so that
# another process can't claim the network.
_GUARD_PORT = 9_999
# Below the kernel's ephemeral range, which outgoing connections use.
_FIRST_PORT = 10_000
_PORT_COUNT = 20_000
_HOSTS = 250
_MAX_CLAIMS = 1_000


class LoopbackNetwork:
    """A network 127.A.B.0/24 that belongs to this process."""

    def __init__(self) -> None:
        generator = random.SystemRandom()
        for _ in range(_MAX_CLAIMS):
            prefix = (
                f"127.{generator.randint(1, 254)}.{generator.randint(0, 254)}"
            )
            guard = socket.socket()
            try:
                guard.bind((f"{prefix}.1", _GUARD_PORT))
            except OSError:
                # Another process has the network.
                guard.close()
                continue
            self._guard = guard
            self._prefix = prefix
            self._ports = itertools.cycle(
                range(_FIRST_PORT, _FIRST_PORT + _PORT_COUNT)
            )
            return
        raise RuntimeError(f"no free loopback network in {_MAX_CLAIMS} tries")

    def host(self, number: int) -> str:
        """Returns a host of the network by its number, from 0."""
        if not 0 <= number < _HOSTS:
            raise ValueError(f"{number} is not a host number below {_HOSTS}")
        return f"{self._prefix}.{number + 1}"

    def free_address(self) -> address_module.Address:
        """Returns an address whose port is free for TCP and UDP."""
        for port in itertools.islice(self._ports, _PORT_COUNT):
            address = address_module.Address(self.host(0), port)
            if _is_free(address):
                return address
        raise RuntimeError(f"no free port on {self.host(0)}")


@functools.cache
def own_network() -> LoopbackNetwork:
    """Returns the network of this process, claimed at the first call."""
    return LoopbackNetwork()


def _is_free(address: address_module.Address) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address.host, address.port))
            except OSError:
                return False
    return True
