"""Thrift encoding of the store objects that daemons exchange."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import functools
import zlib

from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import units
from lavendershed.peer import wire
from lavendershed.peer.gen.messages import ttypes

_STATE_REQUEST_PREFIX = b"state"
# Smaller objects, such as server entries, are sent as they are.
_MIN_COMPRESSED = units.Bytes(4_096)
_COMPRESSION_LEVEL = 1
_COMPRESSION_CACHE_SIZE = 4
MAX_OBJECT_BYTES = units.Bytes(16_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store in encoded form.

    Attributes:
        name: Name of the object.
        revision: Store revision of its last change.
        spec: Encoded content.
    """

    name: str
    revision: store_revisions.StoreRevision
    spec: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationState:
    """Evacuated zones as a daemon knows them.

    Attributes:
        revision: Store revision of their last change; 0 if the daemon knows
            none, or none that the receiver lacks.
        zones: All evacuations, named by their zones and without content.
    """

    revision: store_revisions.StoreRevision = store_revisions.NONE
    zones: tuple[StoredObject, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """Contents of the store as a daemon knows them.

    Attributes:
        configuration_revision: Store revision of its configuration.
        configuration: The configuration, if the receiver lacks it.
        server_revision: Store revision of its list of backend servers.
        servers: All servers, or the changed ones of a partial state.
        partial: Whether only changes of the server list are included.
        removed_servers: Names of the servers that a partial state removes.
        grace: Time for which missing servers may be an effect of an outage of
            the store.
        evacuations: The evacuated zones, if the receiver lacks a change.
    """

    configuration_revision: store_revisions.StoreRevision
    configuration: tuple[StoredObject, ...]
    server_revision: store_revisions.StoreRevision
    servers: tuple[StoredObject, ...]
    partial: bool = False
    removed_servers: tuple[str, ...] = ()
    grace: units.Seconds = units.Seconds(0.0)
    evacuations: EvacuationState = EvacuationState()


@dataclasses.dataclass(frozen=True, slots=True)
class KnownState:
    """What a daemon has that requests the state of another.

    Attributes:
        version: Version of its configuration; 0 if it has none.
        servers: Revision of its server list; 0 if it has none.
        evacuations: Revision up to which it knows the evacuations; 0 if it
            knows none.
    """

    version: ids.Epoch = ids.Epoch(0)
    servers: store_revisions.StoreRevision = store_revisions.NONE
    evacuations: store_revisions.StoreRevision = store_revisions.NONE


def encode_state_request(known: KnownState) -> bytes:
    """Returns a request for what is newer than the given state."""
    return _STATE_REQUEST_PREFIX + wire.encode(
        ttypes.StateRequest(
            configuration_version=known.version,
            server_revision=known.servers.number,
            server_era=known.servers.era or None,
            evacuation_revision=known.evacuations.number or None,
            evacuation_era=known.evacuations.era or None,
        )
    )


def decode_state_request(request: bytes) -> KnownState | None:
    """Returns what the sender of a request has; None if it is another.

    Daemons of older versions send the prefix only and get the whole state.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    if not request.startswith(_STATE_REQUEST_PREFIX):
        return None
    encoded = request[len(_STATE_REQUEST_PREFIX) :]
    if not encoded:
        return KnownState()
    message = wire.decode(ttypes.StateRequest, encoded)
    return KnownState(
        ids.Epoch(message.configuration_version or 0),
        store_revisions.of(message.server_era, message.server_revision),
        store_revisions.of(message.evacuation_era, message.evacuation_revision),
    )


def encode_state(state: PeerState) -> bytes:
    """Returns the thrift encoding of the state."""
    return wire.encode(
        ttypes.StateReply(
            configuration_revision=state.configuration_revision.number,
            configuration_era=state.configuration_revision.era or None,
            configuration=_objects_to_thrift(state.configuration),
            server_revision=state.server_revision.number,
            server_era=state.server_revision.era or None,
            servers=_objects_to_thrift(state.servers),
            partial=state.partial or None,
            removed=list(state.removed_servers) or None,
            grace_ms=round(state.grace * 1_000) or None,
            evacuation_revision=state.evacuations.revision.number or None,
            evacuation_era=state.evacuations.revision.era or None,
            evacuations=_objects_to_thrift(state.evacuations.zones) or None,
        )
    )


def decode_state(data: bytes) -> PeerState:
    """Returns the state that `data` encodes.

    Raises:
        Exception: One of `wire.DECODE_ERRORS`.
    """
    message = wire.decode(ttypes.StateReply, data)
    return PeerState(
        store_revisions.of(
            message.configuration_era, message.configuration_revision
        ),
        _objects_from_thrift(message.configuration),
        store_revisions.of(message.server_era, message.server_revision),
        _objects_from_thrift(message.servers),
        bool(message.partial),
        tuple(message.removed or ()),
        units.Seconds((message.grace_ms or 0) / 1_000),
        EvacuationState(
            store_revisions.of(
                message.evacuation_era, message.evacuation_revision
            ),
            _objects_from_thrift(message.evacuations),
        ),
    )


def _objects_to_thrift(
    objects: Iterable[StoredObject],
) -> list[ttypes.StoredObject]:
    return [
        ttypes.StoredObject(
            name=o.name,
            revision=o.revision.number,
            era=o.revision.era or None,
            spec=o.spec if len(o.spec) < _MIN_COMPRESSED else None,
            compressed_spec=_compress(o.spec)
            if len(o.spec) >= _MIN_COMPRESSED
            else None,
        )
        for o in objects
    ]


# A configuration goes to all daemons of a zone within a second.
@functools.lru_cache(_COMPRESSION_CACHE_SIZE)
def _compress(spec: bytes) -> bytes:
    return zlib.compress(spec, _COMPRESSION_LEVEL)


def _decompress(compressed: bytes) -> bytes:
    """Returns the content.

    Raises:
        ValueError: It is damaged, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        spec = decompressor.decompress(compressed, MAX_OBJECT_BYTES)
    except zlib.error as error:
        raise ValueError(f"damaged object: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"object is incomplete or exceeds {MAX_OBJECT_BYTES} bytes"
        )
    return spec


def _objects_from_thrift(
    objects: list[ttypes.StoredObject] | None,
) -> tuple[StoredObject, ...]:
    return tuple(
        StoredObject(
            o.name or "",
            store_revisions.of(o.era, o.revision),
            o.spec or b""
            if o.compressed_spec is None
            else _decompress(o.compressed_spec),
        )
        for o in objects or []
    )
