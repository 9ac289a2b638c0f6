"""One reading of the configuration and the servers in the store."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses

import result

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import timers
from lavendershed.forwarding import codecs
from lavendershed.platform import objects
from lavendershed.platform import store
from lavendershed.routes import model
from lavendershed.telemetry import log


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDeployment:
    """What the store holds.

    Attributes:
        configuration: The configuration in force; None if there is none yet.
        servers: Number of servers of each service that accept work.
    """

    configuration: model.RoutingConfiguration | None
    servers: Mapping[ids.ServiceId, int]


async def read(
    address: addresses.Address,
    timer_service: timers.TimerService,
    event_log: log.EventLog,
) -> result.Result[StoredDeployment, str]:
    """Reads the store once; returns why it could not be read on failure."""
    decoder = objects.PlatformObjectDecoder()
    listed = {}
    for kind in (codecs.ObjectKind.CONFIGURATION, codecs.ObjectKind.SERVERS):
        name = store.KIND_NAMES[kind]
        source = store.PlatformObjectSource(
            address, name, timer_service, event_log
        )
        listing = await source.list()
        if isinstance(listing, result.Err):
            return result.Err(f"{name}: {listing.err_value.value}")
        listed[kind] = listing.ok_value[0]
    # Objects that can't be decoded are left out, as daemons do.
    configurations = [
        decoded.ok_value
        for decoded in map(
            decoder.decode_configuration,
            listed[codecs.ObjectKind.CONFIGURATION],
        )
        if isinstance(decoded, result.Ok)
    ]
    entries = [
        decoded.ok_value
        for decoded in map(
            decoder.decode_server, listed[codecs.ObjectKind.SERVERS]
        )
        if isinstance(decoded, result.Ok)
    ]
    servers = collections.Counter(
        entry.service for entry in entries if entry.accepts_work
    )
    return result.Ok(
        StoredDeployment(configurations[0] if configurations else None, servers)
    )
