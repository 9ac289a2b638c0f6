"""Numeric socket addresses."""

from __future__ import annotations

import dataclasses
import ipaddress

import result

from lavendershed.core import decimals

MAX_PORT = 65_535
# Longer text is shortened in error messages.
_MAX_SHOWN = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `host:port`, IPv6 hosts in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse(text: str) -> result.Result[Address, str]:
    """Parses `host:port` with a numeric host.

    Host names are rejected because asyncio resolves them in a thread.

    Returns:
        The address, or an error message that includes the expected format.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        return result.Err(
            f"'{text[:_MAX_SHOWN]}' has no port; "
            "use an address like 10.0.0.1:80"
        )
    try:
        number = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return result.Err(
            f"'{host[:_MAX_SHOWN]}' is not an IP address; "
            "host names are not resolved, use an address like 10.0.0.1:80"
        )
    port_number = decimals.parse(port)
    if port_number is None or port_number > MAX_PORT:
        return result.Err(
            f"'{port[:_MAX_SHOWN]}' is not a port number from 0 to {MAX_PORT}"
        )
    return result.Ok(Address(str(number), port_number))
