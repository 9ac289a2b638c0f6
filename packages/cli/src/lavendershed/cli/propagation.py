"""Waits until every daemon has applied a configuration epoch."""

from __future__ import annotations

import result

from lavendershed.cli import errors
from lavendershed.cli import session as session_module
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.objects import status as status_module
from lavendershed.transport import event_loop_timers

_POLL_INTERVAL = units.Seconds(0.25)


async def wait_until_applied(
    access: session_module.Access, epoch: ids.Epoch, timeout: units.Seconds
) -> int:
    """Waits until all live daemons apply `epoch`; returns their number.

    Raises:
        CommandError: A daemon has not applied it after `timeout` seconds.
    """
    deadline = units.after(access.timers.now(), timeout)
    while True:
        statuses = await _read_live_statuses(access.store)
        if isinstance(statuses, result.Ok):
            outdated = [
                status for status in statuses.ok_value if status.epoch < epoch
            ]
            if statuses.ok_value and not outdated:
                return len(statuses.ok_value)
        if units.after(access.timers.now(), _POLL_INTERVAL) >= deadline:
            raise errors.CommandError(
                errors.ExitCode.NOT_APPLIED,
                f"epoch {epoch} is accepted, but not known to be in force "
                f"everywhere after {timeout:g} s: "
                f"{_describe_outdated(statuses, epoch)}",
            )
        await event_loop_timers.sleep(access.timers, _POLL_INTERVAL)


async def _read_live_statuses(
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
    # The status object of a crashed VM stays in the store.
    dead_vms = vms.ok_value.live and frozenset(
        status.vm
        for status in statuses.ok_value
        if status.vm not in vms.ok_value.live
    )
    return result.Ok(
        tuple(
            status for status in statuses.ok_value if status.vm not in dead_vms
        )
    )


def _describe_outdated(
    statuses: result.Result[
        tuple[status_module.DaemonStatus, ...], object_store.StoreError
    ],
    epoch: ids.Epoch,
) -> str:
    if isinstance(statuses, result.Err):
        return f"the object store gave no result ({statuses.err_value.detail})"
    outdated = ", ".join(
        f"{status.vm} has epoch {status.epoch}"
        for status in statuses.ok_value
        if status.epoch < epoch
    )
    return outdated or "no daemon has reported its status"
