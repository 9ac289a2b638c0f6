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
    """Rejects a request that crashed engines twice until it expires."""

    fingerprint: ids.Fingerprint
    lifetime: units.Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSuspectRecord:
    """A request that was in flight when an engine crashed.

    Until the record expires, daemons run the request without other requests on
    its engine, so that a second crash shows whether the request is the cause.
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
    """Requests that one daemon has in flight on one engine."""

    engine: ids.BackendServerId
    outstanding: int
    prefill_tokens: units.Tokens


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRecord:
    """Requests that one daemon has in flight, most loaded engines first."""

    loads: tuple[EngineLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendLeavingRecord:
    """A backend server that is shutting down."""

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
    """Disseminates small soft-state records among daemons.

    A daemon has at most one live record of each subject; publishing again
    replaces it everywhere.
    """

    @abc.abstractmethod
    def publish(self, record: PeerRecord) -> None:
        """Piggybacks a record on the next messages to the other daemons."""

    @abc.abstractmethod
    def subscribe(self, listener: RecordListener) -> None:
        """Calls `listener` for each new record of another daemon."""


class MembershipView(abc.ABC):
    """Live daemons in the membership view of this daemon."""

    @property
    @abc.abstractmethod
    def live(self) -> tuple[ids.VmId, ...]:
        """Live daemons including this one, sorted by id."""

    def live_in_zone(
        self, availability_zone: ids.AvailabilityZoneId
    ) -> tuple[ids.VmId, ...]:
        """Live daemons of one availability zone, to partition work within it.

        A view without zone information returns all live daemons.
        """
        return self.live

    @abc.abstractmethod
    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of one daemon incarnation.

        An incarnation superseded by a newer one of the same VM is dead. An
        unknown incarnation is suspect until the failure detector has confirmed
        its death in two consecutive rounds.
        """


class SingleDaemonCluster(RecordExchange, MembershipView):
    """Membership and record exchange of a deployment without peers."""

    def __init__(self, owner: backend_servers.Owner) -> None:
        self._owner = owner

    @property
    def live(self) -> tuple[ids.VmId, ...]:
        """This daemon only."""
        return (self._owner.vm,)

    def incarnation_state(
        self, owner: backend_servers.Owner
    ) -> states.MemberState:
        """Returns the state of a daemon incarnation.

        Without peers no death can be confirmed, so that incarnations of other
        VMs stay suspect.
        """
        if owner == self._owner:
            return states.MemberState.ALIVE
        if owner.vm == self._owner.vm:
            return states.MemberState.DEAD
        return states.MemberState.SUSPECT

    def publish(self, record: PeerRecord) -> None:
        """Discards the record, because there are no peers."""

    def subscribe(self, listener: RecordListener) -> None:
        """Ignores the listener, because there are no peers."""
