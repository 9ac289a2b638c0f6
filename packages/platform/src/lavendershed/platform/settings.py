"""The platform's settings file."""

from __future__ import annotations

import dataclasses
import pathlib
import resource
import tomllib

import result

from lavendershed.admission import cold_engines
from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.platform import fields
from lavendershed.reliability import fleet_retry_budget
from lavendershed.transport import client_memory

_BYTES_PER_MB = 1_000_000
# Part of the memory for the bodies of requests, and as much for responses. The
# process itself, answers of the store and socket buffers need the rest.
_BUFFER_SHARE = 0.13
# Part of the memory for everything that callers make the process hold: their
# connections, requests and unsent responses.
_CLIENT_SHARE = 0.22
# Questions for readiness and metrics are small, but come beside any crowd.
_READINESS_SHARE = 0.03
# Descriptors of the machine that sockets can't use.
_RESERVED_FOR_FILES = 200
# Parts of the others. The rest is for connections to engines, other daemons
# and the store; a request that is handled needs one of them.
_CLIENT_DESCRIPTOR_SHARE = 0.6
_READINESS_DESCRIPTOR_SHARE = 0.02
_MIN_READINESS_CONNECTIONS = 64
# Where neither the settings nor the operating system state a limit.
_DEFAULT_DESCRIPTORS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone.
        caller_address: Listen address for requests of callers.
        readiness_address: Listen address for readiness and metrics.
        peer_address: Address at which other daemons reach this one.
        seeds: Addresses of possible peers; they may be stale.
        store_address: Address of the platform's object store.
        grace_period: Time from SIGTERM to SIGKILL.
        retry_budget: Limits on the retries of all daemons together.
        bandwidth_mbps: Bandwidth of the VM; 0 if it is not stated.
        first_start: Whether the whole deployment starts for the first time.
        memory: Memory that the process may use.
        evacuation_bound: Time in which an evacuation of a zone has to take
            effect; None on deployments without evacuations.
        cold_bounds: How far requests may exceed the rate of cold engines.
        descriptors: Descriptors that the process may open.
    """

    vm: ids.VmId
    zone: ids.AvailabilityZoneId
    caller_address: addresses.Address
    readiness_address: addresses.Address
    peer_address: addresses.Address
    seeds: tuple[addresses.Address, ...]
    store_address: addresses.Address
    grace_period: units.Seconds
    retry_budget: fleet_retry_budget.FleetBudgetLimits
    bandwidth_mbps: int = 0
    first_start: bool = False
    memory: units.Bytes = units.Bytes(300 * _BYTES_PER_MB)
    evacuation_bound: units.Seconds | None = None
    cold_bounds: cold_engines.ColdBounds = cold_engines.ColdBounds()
    descriptors: int = 4_100

    @property
    def buffer_bytes(self) -> units.Bytes:
        """Memory for large request bodies; as much is used for responses."""
        return units.Bytes(int(self.memory * _BUFFER_SHARE))

    @property
    def client_limits(self) -> client_memory.ClientLimits:
        """What callers and peers may make the process hold."""
        return client_memory.ClientLimits(
            units.Bytes(int(self.memory * _CLIENT_SHARE)),
            max(1, int(self._sockets * _CLIENT_DESCRIPTOR_SHARE)),
        )

    @property
    def readiness_limits(self) -> client_memory.ClientLimits:
        """What the callers of the readiness address may make it hold.

        The latest question is always taken.
        """
        return client_memory.ClientLimits(
            units.Bytes(int(self.memory * _READINESS_SHARE)),
            max(
                _MIN_READINESS_CONNECTIONS,
                int(self._sockets * _READINESS_DESCRIPTOR_SHARE),
            ),
            client_memory.NO_PATIENCE,
        )

    @property
    def _sockets(self) -> int:
        return max(0, self.descriptors - _RESERVED_FOR_FILES)


def load(path: pathlib.Path) -> result.Result[PlatformSettings, str]:
    """Returns the settings, or an error that names the invalid field."""
    try:
        with path.open("rb") as file:
            return result.Ok(_decode_settings(tomllib.load(file)))
    except (OSError, tomllib.TOMLDecodeError, fields.FieldError) as error:
        return result.Err(f"{path}: {error}")


def _decode_settings(body: dict[str, fields.JsonValue]) -> PlatformSettings:
    listen = fields.as_table(body.get("listen"), "listen")
    bounds = fields.as_table(body.get("bounds"), "bounds")
    store = fields.as_table(body.get("provider"), "provider")
    vm_limits = fields.as_table(body.get("limits", {}), "limits")
    ports = fields.array(body, "internal_ports")
    if not ports or not isinstance(ports[0], int):
        raise fields.FieldError("internal_ports", "contains no port")
    host = fields.string(body, "ip")
    return PlatformSettings(
        ids.VmId(fields.string(body, "node_name")),
        ids.AvailabilityZoneId(fields.string(body, "zone")),
        _decode_address(listen, "frontend"),
        _decode_address(listen, "ready"),
        addresses.Address(host, ports[0]),
        # Seeds are listed with their control port; peers use the internal one.
        tuple(
            addresses.Address(seed.rpartition(":")[0], ports[0])
            for seed in body.get("seeds", [])
        ),
        _decode_address(store, "address"),
        units.Seconds(fields.number(bounds, "grace_s")),
        fleet_retry_budget.FleetBudgetLimits(
            fields.number(bounds, "retry_budget_ratio"),
            fields.number(bounds, "budget_slack"),
            units.Seconds(fields.number(bounds, "budget_window_s")),
        ),
        int(fields.number(vm_limits, "link_mbps", 0.0)),
        fields.boolean(body, "bootstrap"),
        units.Bytes(
            int(fields.number(vm_limits, "memory_mb", 300.0) * _BYTES_PER_MB)
        ),
        units.Seconds(fields.number(bounds, "evacuate_ms") / 1_000)
        if "evacuate_ms" in bounds
        else None,
        cold_engines.ColdBounds(
            fields.number(bounds, "cold_overrun", 1.0),
            fields.number(bounds, "cold_slack", 0.0),
        ),
        _descriptors(int(fields.number(vm_limits, "max_fds", 0.0))),
    )


def _descriptors(stated: int) -> int:
    """Returns the lower of the stated limit and that of the process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return stated or _DEFAULT_DESCRIPTORS
    return min(stated, soft_limit) if stated else soft_limit


def _decode_address(
    body: dict[str, fields.JsonValue], name: str
) -> addresses.Address:
    parsed = addresses.parse(fields.string(body, name))
    if isinstance(parsed, result.Err):
        raise fields.FieldError(name, parsed.err_value)
    return parsed.ok_value
