"""Conversion between membership messages and thrift structs."""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Any
from typing import TypeVar

from lavendershed.core import backend_servers
from lavendershed.core import cluster
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.membership import messages
from lavendershed.membership import records as records_module
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes

T = TypeVar("T")

_UINT64_RANGE = 1 << 64
_INT64_MAX = (1 << 63) - 1
# Far above any real count, and low enough that sums fit into 64 bits.
_MAX_COUNT = 1 << 60
_RATE_SCALE = 1_000
_MAX_LIFETIME_MS = (1 << 31) - 1
_MESSAGE_KIND_NUMBERS = {
    messages.MessageKind.PING: 1,
    messages.MessageKind.ACK: 2,
    messages.MessageKind.INDIRECT_PING: 3,
    messages.MessageKind.PUSH: 4,
}
_MESSAGE_KINDS_BY_NUMBER = {
    number: kind for kind, number in _MESSAGE_KIND_NUMBERS.items()
}
MEMBER_STATE_NUMBERS = {
    states.MemberState.ALIVE: 1,
    states.MemberState.SUSPECT: 2,
    states.MemberState.LEAVING: 3,
    states.MemberState.DEAD: 4,
}
MEMBER_STATES_BY_NUMBER = {
    number: state for state, number in MEMBER_STATE_NUMBERS.items()
}


class ThriftRecordSizer(records_module.RecordSizer):
    """Computes the encoded sizes of records in thrift messages."""

    def member_size(self, record: records_module.MemberRecord) -> units.Bytes:
        """Returns the encoded size of a member record."""
        return units.Bytes(len(wire.encode(member_to_thrift(record))))

    def record_size(
        self, record: records_module.VersionedRecord
    ) -> units.Bytes:
        """Returns the encoded size of a soft-state record."""
        return units.Bytes(len(wire.encode(_record_to_thrift(record))))


def encode_message(message: messages.Message, deployment: str) -> bytes:
    """Returns a message as the payload of a datagram."""
    target = message.target
    return wire.encode(
        ttypes.Datagram(
            deployment=deployment,
            kind=_MESSAGE_KIND_NUMBERS[message.kind],
            sequence=message.sequence,
            sender=member_to_thrift(message.sender),
            epoch=message.epoch,
            target=None if target is None else member_to_thrift(target),
            members=[member_to_thrift(m) for m in message.members],
            records=[_record_to_thrift(r) for r in message.records],
        )
    )


def message_from_thrift(datagram: Any) -> messages.Message:  # noqa: ANN401
    """Returns the message of a decoded datagram.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    return messages.Message(
        _MESSAGE_KINDS_BY_NUMBER[datagram.kind],
        _required(datagram.sequence),
        _member_from_thrift(datagram.sender),
        ids.Epoch(_required(datagram.epoch)),
        None
        if datagram.target is None
        else _member_from_thrift(datagram.target),
        _members_from_thrift(datagram.members),
        _records_from_thrift(datagram.records),
    )


def snapshot_to_thrift(
    snapshot: messages.Snapshot,
) -> Any:  # noqa: ANN401
    """Returns the thrift struct of a snapshot."""
    return ttypes.Snapshot(
        epoch=snapshot.epoch,
        members=[member_to_thrift(m) for m in snapshot.members],
        records=[_record_to_thrift(r) for r in snapshot.records],
    )


def snapshot_from_thrift(snapshot: Any) -> messages.Snapshot:  # noqa: ANN401
    """Returns a decoded snapshot.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    return messages.Snapshot(
        ids.Epoch(_required(snapshot.epoch)),
        _members_from_thrift(snapshot.members),
        _records_from_thrift(snapshot.records),
    )


def owner_to_thrift(owner: backend_servers.Owner) -> Any:  # noqa: ANN401
    """Returns the thrift struct of an owner."""
    return ttypes.Owner(vm=owner.vm, incarnation=owner.incarnation)


def owner_from_thrift(owner: Any) -> backend_servers.Owner:  # noqa: ANN401
    """Returns a decoded owner.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    return backend_servers.Owner(
        ids.VmId(_non_empty(owner.vm)),
        ids.Incarnation(_required(owner.incarnation)),
    )


def member_to_thrift(
    record: records_module.MemberRecord,
) -> Any:  # noqa: ANN401
    """Returns the thrift struct of a member record."""
    return ttypes.Member(
        owner=owner_to_thrift(record.owner),
        generation=record.generation,
        version=record.version,
        state=MEMBER_STATE_NUMBERS[record.state],
        address=record.address,
        availability_zone=record.availability_zone,
        replaces=record.replaces,
    )


def _to_int64(value: int) -> int:
    # Thrift has signed integers only.
    value %= _UINT64_RANGE
    return value - _UINT64_RANGE if value > _INT64_MAX else value


def _required(value: T | None) -> T:
    if value is None:
        raise ValueError("a required field is missing")
    return value


def _non_empty(value: str | None) -> str:
    if not value:
        raise ValueError("a required name is missing")
    return value


def _to_thousandths(rate: float) -> int:
    # Rounded up, so that peers never assume less demand than its daemon has.
    return min(_INT64_MAX, math.ceil(rate * _RATE_SCALE))


def _from_thousandths(value: int | None) -> float:
    return _validated_count(value) / _RATE_SCALE


def _validated_count(value: int | None) -> int:
    if value is None or not 0 <= value <= _MAX_COUNT:
        raise ValueError(f"a count is not within 0 to {_MAX_COUNT}")
    return value


def _member_from_thrift(
    member: Any,  # noqa: ANN401
) -> records_module.MemberRecord:
    return records_module.MemberRecord(
        owner_from_thrift(member.owner),
        _validated_count(member.generation),
        _validated_count(member.version),
        MEMBER_STATES_BY_NUMBER[member.state],
        records_module.PeerAddress(_non_empty(member.address)),
        ids.AvailabilityZoneId(_non_empty(member.availability_zone)),
        None if member.replaces is None else ids.Incarnation(member.replaces),
    )


def _members_from_thrift(
    members: Iterable[Any] | None,
) -> tuple[records_module.MemberRecord, ...]:
    # Members with a state of a later daemon version are skipped.
    return tuple(
        _member_from_thrift(member)
        for member in members or ()
        if member.state in MEMBER_STATES_BY_NUMBER
    )


def _records_from_thrift(
    records: Iterable[Any] | None,
) -> tuple[records_module.VersionedRecord, ...]:
    # A record kind of a later version has none of the known contents. Only an
    # invalid record itself is skipped, since the message still proves that its
    # sender is alive.
    decoded: list[records_module.VersionedRecord] = []
    for record in records or ():
        try:
            content = _record_from_thrift(record)
        except (*wire.DECODE_ERRORS, AttributeError):
            continue
        if content is not None:
            decoded.append(content)
    return tuple(decoded)


def _record_to_thrift(
    record: records_module.VersionedRecord,
) -> Any:  # noqa: ANN401
    encoded = ttypes.Record(
        origin=owner_to_thrift(record.origin),
        version=record.version,
        lifetime_ms=min(_MAX_LIFETIME_MS, int(record.lifetime * 1000)),
    )
    content = record.content
    if isinstance(content, cluster.QuarantineRecord):
        encoded.quarantine = ttypes.Quarantine(
            fingerprint=_to_int64(content.fingerprint)
        )
    elif isinstance(content, cluster.CrashSuspectRecord):
        encoded.crash_suspect = ttypes.CrashSuspect(
            fingerprint=_to_int64(content.fingerprint)
        )
    elif isinstance(content, cluster.DemandRecord):
        encoded.demand = ttypes.Demand(
            demands=[
                ttypes.OrganisationDemand(
                    organisation=demand.organisation,
                    requests_per_second=_to_thousandths(
                        demand.requests_per_second
                    ),
                    tokens_per_second=_to_thousandths(demand.tokens_per_second),
                )
                for demand in content.demands
            ]
        )
    elif isinstance(content, cluster.LoadRecord):
        encoded.load = ttypes.Load(
            loads=[
                ttypes.EngineLoad(
                    engine=load.engine,
                    outstanding=load.outstanding,
                    prefill_tokens=load.prefill_tokens,
                )
                for load in content.loads
            ]
        )
    else:
        encoded.backend_leaving = ttypes.BackendLeaving(
            server=content.server,
            incarnation=None
            if content.incarnation is None
            else _to_int64(content.incarnation),
        )
    return encoded


def _record_from_thrift(
    record: Any,  # noqa: ANN401
) -> records_module.VersionedRecord | None:
    lifetime = units.Seconds(_validated_count(record.lifetime_ms) / 1000)
    content = _content_from_thrift(record, lifetime)
    if content is None:
        return None
    return records_module.VersionedRecord(
        owner_from_thrift(record.origin),
        _validated_count(record.version),
        lifetime,
        content,
    )


def _content_from_thrift(
    record: Any,  # noqa: ANN401
    lifetime: units.Seconds,
) -> cluster.PeerRecord | None:
    if record.quarantine is not None:
        fingerprint = _required(record.quarantine.fingerprint)
        return cluster.QuarantineRecord(
            ids.Fingerprint(fingerprint % _UINT64_RANGE), lifetime
        )
    if record.crash_suspect is not None:
        fingerprint = _required(record.crash_suspect.fingerprint)
        return cluster.CrashSuspectRecord(
            ids.Fingerprint(fingerprint % _UINT64_RANGE), lifetime
        )
    if record.demand is not None:
        return cluster.DemandRecord(
            tuple(
                cluster.OrganisationDemand(
                    ids.OrganisationId(_non_empty(demand.organisation)),
                    _from_thousandths(demand.requests_per_second),
                    _from_thousandths(demand.tokens_per_second),
                )
                for demand in record.demand.demands or ()
            )
        )
    if record.load is not None:
        return cluster.LoadRecord(
            tuple(
                cluster.EngineLoad(
                    ids.BackendServerId(_non_empty(load.engine)),
                    _validated_count(load.outstanding),
                    units.Tokens(_validated_count(load.prefill_tokens)),
                )
                for load in record.load.loads or ()
            )
        )
    if record.backend_leaving is not None:
        incarnation = record.backend_leaving.incarnation
        return cluster.BackendLeavingRecord(
            ids.BackendServerId(_non_empty(record.backend_leaving.server)),
            None
            if incarnation is None
            else ids.Incarnation(incarnation % _UINT64_RANGE),
        )
    return None
