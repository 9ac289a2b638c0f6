"""Interfaces to the other daemons of the deployment."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses

from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A request that crashed engines twice; refused while the record lives."""

    fingerprint: ids.Fingerprint
    lifetime: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspectRecord:
    """A request that was in flight when an engine crashed.

    It runs alone on any daemon while the record lives, so that a second crash
    shows whether it is the cause.
    """

    fingerprint: ids.Fingerprint
    lifetime: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationDemand:
    """Recent demand of one organisation at one daemon."""

    organisation: ids.OrganisationId
    requests_per_second: float
    tokens_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class DemandRecord:
    """Recent demand at one daemon, largest organisations first."""

    demands: tuple[OrganisationDemand, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Work that one daemon has on one engine."""

    engine: ids.BackendServerId
    outstanding: int
    prefill_tokens: units.Tokens


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRecord:
    """Work that one daemon has on engines, most loaded engines first."""

    loads: tuple[EngineLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendLeavingRecord:
    """A backend server that was seen to be leaving."""

    server: ids.BackendServerId
    incarnation: ids.Incarnation | None


PeerRecord = (
    QuarantineRecord
    | CrashSuspectRecord
    | DemandRecord
    | LoadRecord
    | BackendLeavingRecord
)
RecordListener = Callable[[backend_servers.Owner, PeerRecord], None]


class RecordExchange(abc.ABC):
    """Spreads small soft-state records among daemons.

    A daemon has at most one live record of each subject; publishing again
    replaces it everywhere.
    """

    @abc.abstractmethod
    def publish(self, record: PeerRecord) -> None:
        """Sends a record to the other daemons with the next messages."""

    @abc.abstractmethod
    def subscribe(self, listener: RecordListener) -> None:
        """Calls `listener` for each new record of another daemon."""


class MembershipView(abc.ABC):
    """Which daemons are alive, as this daemon sees it."""

    @property
    @abc.abstractmethod
    def live(self) -> tuple[ids.VmId, ...]:
        """Live daemons, this one included, in the order of their ids."""

    def live_in_zone(
        self, availability_zone: ids.AvailabilityZoneId
    ) -> tuple[ids.VmId, ...]:
        """Live daemons of one zone, for work divided within zones.

        A view that knows no zones returns all live daemons.
        """
        return self.live

    @abc.abstractmethod
    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of one daemon incarnation.

        An incarnation that a newer one of the same VM has replaced is dead. An
        incarnation that was never seen counts as suspect until the detector
        has confirmed its death over two consecutive rounds.
        """


class SingleDaemonCluster(RecordExchange, MembershipView):
    """A deployment of one daemon: it has no peers."""

    def __init__(self, owner: backend_servers.Owner) -> None:
        self._owner = owner

    @property
    def live(self) -> tuple[ids.VmId, ...]:
        """This daemon only."""
        return (self._owner.vm,)

    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns alive for this incarnation; others are suspect for good."""
        if owner == self._owner:
            return states.MemberState.ALIVE
        if owner.vm == self._owner.vm:
            return states.MemberState.DEAD
        return states.MemberState.SUSPECT

    def publish(self, record: PeerRecord) -> None:
        """Drops the record, because there is no peer."""

    def subscribe(self, listener: RecordListener) -> None:
        """Ignores the listener, because there is no peer."""
