"""Status objects, in which daemons report the epoch in force."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.platform import codec

PREFIX = "status/"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What one daemon reports of itself.

    Attributes:
        address: Address for callers and health checks.
        epoch: Epoch of the configuration in force.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    availability_zone: ids.AvailabilityZoneId
    address: str
    epoch: ids.Epoch
    active_preset: ids.PresetName


CODEC = codec.Codec(DaemonStatus)


def key(vm: ids.VmId) -> ids.ObjectKey:
    """Returns the key of a daemon's status object."""
    return ids.ObjectKey(PREFIX + vm)


async def read_all(
    store: object_store.ObjectStore,
) -> result.Result[tuple[DaemonStatus, ...], object_store.StoreError]:
    """Reads all status objects; those that cannot be decoded are left out."""
    statuses: list[DaemonStatus] = []
    after: ids.ObjectKey | None = None
    while True:
        page = await store.list(PREFIX, after)
        if isinstance(page, result.Err):
            return page
        if not page.ok_value:
            return result.Ok(tuple(statuses))
        for stored in page.ok_value:
            decoded = CODEC.decode(stored.value)
            if isinstance(decoded, result.Ok):
                statuses.append(decoded.ok_value)
        after = page.ok_value[-1].key
