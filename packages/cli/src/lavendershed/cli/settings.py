"""Settings of the router from flags and environment variables."""

from __future__ import annotations

from collections.abc import Mapping
import enum
import ipaddress
from typing import Any

import pydantic
import pydantic_settings

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.daemon import options
from lavendershed.peer import authentication
from lavendershed.transport import address

MAX_IDLE_TIMEOUT_SECONDS = 60.0
MAX_SETTLE_TIME_SECONDS = 600.0
MAX_POLL_INTERVAL_SECONDS = 60.0
MIN_POLL_INTERVAL_SECONDS = 0.05
MAX_STORE_CALLS_PER_SECOND = 2_000.0
MAX_WEIGHT_LOADS_PER_SECOND = 100.0
# A lower limit leaves no calls for the watch and the poll beside bookings.
MIN_STORE_CALLS_PER_SECOND = 2.0
LIST_SEPARATOR = ","


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(
        part.strip() for part in text.split(LIST_SEPARATOR) if part.strip()
    )


class EventLoop(enum.Enum):
    """Event loops that the router can run on."""

    ASYNCIO = "asyncio"
    UVLOOP = "uvloop"


def _check_address(text: str) -> str:
    parsed = address.parse(text)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err())
    return text


class RouterSettings(pydantic_settings.BaseSettings):
    """Settings of `lavendershed router`; flags override the environment."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix="LAVENDERSHED_", extra="forbid"
    )

    vm: str = pydantic.Field(min_length=1)
    availability_zone: str = pydantic.Field(min_length=1)
    listen: str
    store: str
    idle_timeout_seconds: float = pydantic.Field(
        2.0, gt=0, le=MAX_IDLE_TIMEOUT_SECONDS
    )
    settle_time_seconds: float = pydantic.Field(
        5.0, ge=0, le=MAX_SETTLE_TIME_SECONDS
    )
    poll_interval_seconds: float = pydantic.Field(
        2.0, ge=MIN_POLL_INTERVAL_SECONDS, le=MAX_POLL_INTERVAL_SECONDS
    )
    engine_poll_interval_seconds: float = pydantic.Field(
        0.25, ge=MIN_POLL_INTERVAL_SECONDS, le=MAX_POLL_INTERVAL_SECONDS
    )
    store_calls_per_second: float = pydantic.Field(
        40.0, ge=MIN_STORE_CALLS_PER_SECOND, le=MAX_STORE_CALLS_PER_SECOND
    )
    weight_loads_per_second: float = pydantic.Field(
        0.5, gt=0, le=MAX_WEIGHT_LOADS_PER_SECOND
    )
    event_loop: EventLoop = EventLoop.ASYNCIO

    peer_listen: str | None = None
    peers: str = ""
    peer_keys: str = ""
    deployment: str = pydantic.Field("default", min_length=1, max_length=64)

    @classmethod
    def from_flags(cls, flags: Mapping[str, str | float]) -> RouterSettings:
        """Returns settings in which `flags` override the environment.

        Raises:
            pydantic.ValidationError: A setting is missing or out of range.
        """
        values: dict[str, Any] = dict(flags)
        return cls(**values)

    @pydantic.field_validator("listen", "store")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Rejects addresses that are not numeric."""
        return _check_address(value)

    @pydantic.field_validator("peer_listen")
    @classmethod
    def check_peer_listen(cls, value: str | None) -> str | None:
        """Rejects an address that other daemons cannot connect to."""
        if value is None:
            return None
        parsed = address.parse(_check_address(value)).unwrap()
        if ipaddress.ip_address(parsed.host).is_unspecified or not parsed.port:
            raise ValueError(
                f"'{value}' is not an address that other daemons can reach; "
                "give a specific address and port of this VM"
            )
        return value

    @pydantic.field_validator("peers")
    @classmethod
    def check_peers(cls, value: str) -> str:
        """Rejects peer addresses that are not numeric."""
        for peer in _split_list(value):
            _check_address(peer)
        return value

    @pydantic.field_validator("peer_keys")
    @classmethod
    def check_peer_keys(cls, value: str) -> str:
        """Rejects keys that are too short, too many or not hexadecimal."""
        try:
            keys = tuple(bytes.fromhex(key) for key in _split_list(value))
        except ValueError:
            # The message of the original error could contain the secret.
            raise ValueError(
                "keys must consist of hexadecimal digits"
            ) from None
        if keys:
            authentication.Authenticator(keys)
        return value

    @pydantic.model_validator(mode="after")
    def check_peer_network(self) -> RouterSettings:
        """Rejects a peer network without keys."""
        if self.peer_listen is not None and not _split_list(self.peer_keys):
            raise ValueError("peer-listen requires peer-keys")
        return self

    def options(self) -> options.RouterOptions:
        """Returns the options of the router."""
        return options.RouterOptions(
            ids.VmId(self.vm),
            ids.AvailabilityZoneId(self.availability_zone),
            address.parse(self.listen).unwrap(),
            address.parse(self.store).unwrap(),
            None
            if self.peer_listen is None
            else address.parse(self.peer_listen).unwrap(),
            tuple(
                address.parse(peer).unwrap() for peer in _split_list(self.peers)
            ),
            tuple(bytes.fromhex(key) for key in _split_list(self.peer_keys)),
            self.deployment,
            idle_timeout=units.Seconds(self.idle_timeout_seconds),
            settle_time=units.Seconds(self.settle_time_seconds),
            poll_interval=units.Seconds(self.poll_interval_seconds),
            engine_poll_interval=units.Seconds(
                self.engine_poll_interval_seconds
            ),
            store_calls_per_second=self.store_calls_per_second,
            weight_loads_per_second=self.weight_loads_per_second,
        )
