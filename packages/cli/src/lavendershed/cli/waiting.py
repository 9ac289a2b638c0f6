"""Waiting until an epoch is in force on every daemon."""

from __future__ import annotations

import result

from lavendershed.cli import failures
from lavendershed.cli import session as session_module
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.objects import status as status_module
from lavendershed.transport import event_loop_timers

_POLL = units.Seconds(0.25)


async def wait_in_force(
    access: session_module.Access, epoch: ids.Epoch, limit: units.Seconds
) -> int:
    """Waits until all daemons have `epoch` in force; returns their number.

    Raises:
        CommandError: A daemon does not have it after `limit` seconds.
    """
    end = units.after(access.timers.now(), limit)
    while True:
        read = await _read(access.store)
        if isinstance(read, result.Ok):
            behind = [s for s in read.ok_value if s.epoch < epoch]
            if read.ok_value and not behind:
                return len(read.ok_value)
        if units.after(access.timers.now(), _POLL) >= end:
            raise failures.CommandError(
                failures.ExitCode.NOT_IN_FORCE,
                f"epoch {epoch} is accepted, but not known to be in force "
                f"everywhere after {limit:g} s: {_reason(read, epoch)}",
            )
        await event_loop_timers.sleep(access.timers, _POLL)


async def _read(
    store: object_store.ObjectStore,
) -> result.Result[
    tuple[status_module.DaemonStatus, ...], object_store.StoreError
]:
    statuses = await status_module.read_daemon_statuses(store)
    if isinstance(statuses, result.Err):
        return statuses
    vms = await store.list_vms()
    if isinstance(vms, result.Err):
        return vms
    # A crashed VM leaves its status object behind.
    gone = vms.ok_value.live and frozenset(
        entry.vm
        for entry in statuses.ok_value
        if entry.vm not in vms.ok_value.live
    )
    return result.Ok(
        tuple(entry for entry in statuses.ok_value if entry.vm not in gone)
    )


def _reason(
    read: result.Result[
        tuple[status_module.DaemonStatus, ...], object_store.StoreError
    ],
    epoch: ids.Epoch,
) -> str:
    if isinstance(read, result.Err):
        return f"the object store gave no result ({read.err_value.detail})"
    behind = ", ".join(
        f"{entry.vm} has epoch {entry.epoch}"
        for entry in read.ok_value
        if entry.epoch < epoch
    )
    return behind or "no daemon has reported its status"
