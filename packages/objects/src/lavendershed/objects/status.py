"""Status objects of daemons, leases and placements."""

from __future__ import annotations

import dataclasses

import result

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.objects import codec
from lavendershed.placement import targets

STATUS_PREFIX = "status/"
LEASE_PREFIX = "leases/"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Status that a daemon reports of itself.

    Attributes:
        address: Address for callers and health checks.
        epoch: Epoch of the configuration that the daemon applies.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    availability_zone: ids.AvailabilityZoneId
    address: str
    epoch: ids.Epoch
    active_preset: ids.PresetName


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseContent:
    """Fields of a lease object that are shown to operators."""

    holder: backend_servers.Owner | None
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseStatus:
    """Lease on the right to send placement orders for one service."""

    service: ids.ServiceId
    content: LeaseContent


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementStatus:
    """Desired placement of a service, as its lease holder stored it."""

    service: ids.ServiceId
    content: targets.PlacementRecord


DAEMON_STATUS_CODEC = codec.Codec(DaemonStatus)
_LEASE_CODEC = codec.Codec(LeaseContent)
_PLACEMENT_CODEC = codec.Codec(targets.PlacementRecord)


def status_key(vm: ids.VmId) -> ids.ObjectKey:
    """Returns the key of a daemon's status object."""
    return ids.ObjectKey(STATUS_PREFIX + vm)


async def read_daemon_statuses(
    store: object_store.ObjectStore,
) -> result.Result[tuple[DaemonStatus, ...], object_store.StoreError]:
    """Reads all status objects; skips those that can't be decoded."""
    stored = await _read_prefix(store, STATUS_PREFIX)
    if isinstance(stored, result.Err):
        return stored
    decoded = (
        DAEMON_STATUS_CODEC.decode(entry.value) for entry in stored.ok_value
    )
    return result.Ok(
        tuple(e.ok_value for e in decoded if isinstance(e, result.Ok))
    )


async def read_leases(
    store: object_store.ObjectStore,
) -> result.Result[tuple[LeaseStatus, ...], object_store.StoreError]:
    """Reads all leases; skips those that can't be decoded."""
    stored = await _read_prefix(store, LEASE_PREFIX)
    if isinstance(stored, result.Err):
        return stored
    leases: list[LeaseStatus] = []
    for entry in stored.ok_value:
        decoded = _LEASE_CODEC.decode(entry.value)
        if isinstance(decoded, result.Ok):
            service = ids.ServiceId(entry.key.removeprefix(LEASE_PREFIX))
            leases.append(LeaseStatus(service, decoded.ok_value))
    return result.Ok(tuple(leases))


async def read_placements(
    store: object_store.ObjectStore,
) -> result.Result[tuple[PlacementStatus, ...], object_store.StoreError]:
    """Reads the desired placements; skips those that can't be decoded."""
    stored = await _read_prefix(store, targets.PLACEMENT_PREFIX)
    if isinstance(stored, result.Err):
        return stored
    placements: list[PlacementStatus] = []
    for entry in stored.ok_value:
        decoded = _PLACEMENT_CODEC.decode(entry.value)
        if isinstance(decoded, result.Ok):
            name = entry.key.removeprefix(targets.PLACEMENT_PREFIX)
            placements.append(
                PlacementStatus(ids.ServiceId(name), decoded.ok_value)
            )
    return result.Ok(tuple(placements))


async def _read_prefix(
    store: object_store.ObjectStore, prefix: str
) -> result.Result[
    tuple[object_store.StoredObject, ...], object_store.StoreError
]:
    objects: list[object_store.StoredObject] = []
    after: ids.ObjectKey | None = None
    while True:
        page = await store.list(prefix, after)
        if isinstance(page, result.Err):
            return page
        if not page.ok_value:
            return result.Ok(tuple(objects))
        objects += page.ok_value
        after = page.ok_value[-1].key
