"""The platform's settings file."""

from __future__ import annotations

import dataclasses
import pathlib
import tomllib

import result

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.platform import fields
from lavendershed.reliability import fleet_retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        callers: Where callers' requests arrive.
        ready: Where readiness and metrics are asked.
        peers: Where other daemons reach this one.
        seeds: Where other daemons may be; they may be stale.
        store: The platform's store.
        grace: Time from SIGTERM to SIGKILL.
        budget: Limits of the requests that are sent to a second server.
    """

    vm: ids.VmId
    zone: ids.AvailabilityZoneId
    callers: addresses.Address
    ready: addresses.Address
    peers: addresses.Address
    seeds: tuple[addresses.Address, ...]
    store: addresses.Address
    grace: units.Seconds
    budget: fleet_retry_budget.FleetBudgetLimits


def load(path: pathlib.Path) -> result.Result[PlatformSettings, str]:
    """Returns the settings, or which field of the file is wrong."""
    try:
        with path.open("rb") as file:
            return result.Ok(_settings(tomllib.load(file)))
    except (OSError, tomllib.TOMLDecodeError, fields.FieldError) as error:
        return result.Err(f"{path}: {error}")


def _settings(body: dict[str, fields.Body]) -> PlatformSettings:
    listen = fields.table(body.get("listen"), "listen")
    bounds = fields.table(body.get("bounds"), "bounds")
    store = fields.table(body.get("provider"), "provider")
    ports = fields.items(body, "internal_ports")
    if not ports or not isinstance(ports[0], int):
        raise fields.FieldError("internal_ports", "holds no port")
    host = fields.text(body, "ip")
    return PlatformSettings(
        ids.VmId(fields.text(body, "node_name")),
        ids.AvailabilityZoneId(fields.text(body, "zone")),
        _address(listen, "frontend"),
        _address(listen, "ready"),
        addresses.Address(host, ports[0]),
        # The control port of a seed is of no use; its internal port is.
        tuple(
            addresses.Address(seed.rpartition(":")[0], ports[0])
            for seed in body.get("seeds", [])
        ),
        _address(store, "address"),
        units.Seconds(fields.number(bounds, "grace_s")),
        fleet_retry_budget.FleetBudgetLimits(
            fields.number(bounds, "retry_budget_ratio"),
            fields.number(bounds, "budget_slack"),
            units.Seconds(fields.number(bounds, "budget_window_s")),
        ),
    )


def _address(body: dict[str, fields.Body], name: str) -> addresses.Address:
    parsed = addresses.parse(fields.text(body, name))
    if isinstance(parsed, result.Err):
        raise fields.FieldError(name, parsed.err_value)
    return parsed.ok_value
