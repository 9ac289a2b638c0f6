"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import dataclasses
import urllib.parse

import orjson
import result

from lavendershed.core import addresses
from lavendershed.core import decimals
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.core import units
from lavendershed.forwarding import codecs
from lavendershed.peer import peer_state
from lavendershed.platform import fields
from lavendershed.platform import header_names
from lavendershed.platform import json_outline
from lavendershed.telemetry import events
from lavendershed.telemetry import log
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import pool

# The store responds in 4 ms, or in 250 ms when it is slow.
_CALL_TIMEOUT = units.Seconds(1.5)
# A check has to leave time for a second one within the two seconds in which a
# change has to take effect.
_CHECK_TIMEOUT = units.Seconds(0.6)
_CHECK_WAIT_MS = 1
_GONE_STATUS = 410
KIND_NAMES = {
    codecs.ObjectKind.CONFIGURATION: "config",
    codecs.ObjectKind.SERVERS: "servers",
    codecs.ObjectKind.EVACUATIONS: "evacuations",
}
_REFUSED_STATUSES = frozenset({429, 503})
# Objects of other writers may have any name.
_MAX_NAME = 512
_UNREADABLE_SPEC = b""
_OBJECT_KEY = b'"object"'
_MAX_RESPONSE = units.Bytes(8_000_000)
# Parsing more takes milliseconds.
_LARGE_ELEMENT = units.Bytes(10_000)
_ERRORS = {
    errors.TransportErrorKind.IDLE_TIMEOUT: codecs.SourceError.TIMED_OUT,
    errors.TransportErrorKind.PROTOCOL: codecs.SourceError.MALFORMED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Body of an answer of the store, with the era that it belongs to."""

    era: ids.StoreEra
    body: dict[str, fields.JsonValue]

    @property
    def revision(self) -> store_revisions.StoreRevision:
        """Revision of the store that the answer reflects.

        Raises:
            FieldError: It is missing or of another type.
        """
        return store_revisions.StoreRevision(
            self.era, ids.ObjectVersion(fields.integer(self.body, "as_of"))
        )


class PlatformObjectSource(codecs.ObjectSource):
    """Reads and watches the objects of one kind."""

    def __init__(
        self,
        address: addresses.Address,
        kind: str,
        timer_service: timers.TimerService,
        event_log: log.EventLog,
    ) -> None:
        self._log = event_log
        self._path = f"/objects/{kind}"
        self._pool = pool.ConnectionPool(
            address,
            timer_service,
            pool.PoolLimits(connect_timeout=_CALL_TIMEOUT, max_idle=1),
        )
        self._check_pool = pool.ConnectionPool(
            address,
            timer_service,
            pool.PoolLimits(connect_timeout=_CHECK_TIMEOUT, max_idle=0),
        )

    async def list(
        self,
    ) -> result.Result[
        tuple[
            tuple[peer_state.StoredObject, ...], store_revisions.StoreRevision
        ],
        codecs.SourceError,
    ]:
        """Lists all objects, with the revision of the first page."""
        objects: list[peer_state.StoredObject] = []
        revision: store_revisions.StoreRevision | None = None
        query: dict[str, str] = {}
        while True:
            response = await self._get(query, _CALL_TIMEOUT)
            if isinstance(response, result.Err):
                return response
            answer = response.ok_value
            body = answer.body
            try:
                page = self._decode_items(answer)
                # The watch repeats changes made between the pages.
                if revision is None:
                    revision = answer.revision
                if answer.era != revision.era:
                    # The store came back from a copy between two pages.
                    return result.Err(codecs.SourceError.HISTORY_GONE)
                more = fields.boolean(body, "has_more")
            except fields.FieldError:
                return result.Err(codecs.SourceError.MALFORMED)
            objects += page
            if not more or not page:
                return result.Ok((tuple(objects), revision))
            query = {"after": page[-1].name}

    async def watch(
        self, revision: store_revisions.StoreRevision, timeout: units.Seconds
    ) -> result.Result[codecs.Changes, codecs.SourceError]:
        """Long-polls for changes after `revision`."""
        response = await self._get(
            {
                "watch": str(revision.number),
                "wait_ms": str(int(timeout * 1_000)),
            },
            units.Seconds(timeout + _CALL_TIMEOUT),
        )
        return response.and_then(
            lambda answer: self._decode_changes(answer, revision.era)
        )

    async def changes_since(
        self, revision: store_revisions.StoreRevision
    ) -> result.Result[codecs.Changes, codecs.SourceError]:
        """Asks for changes after `revision` on a new connection."""
        try:
            # Also ends a response that stops after its head.
            async with asyncio.timeout(_CHECK_TIMEOUT):
                response = await self._get(
                    {
                        "watch": str(revision.number),
                        "wait_ms": str(_CHECK_WAIT_MS),
                    },
                    _CHECK_TIMEOUT,
                    self._check_pool,
                )
        except TimeoutError:
            return result.Err(codecs.SourceError.TIMED_OUT)
        return response.and_then(
            lambda answer: self._decode_changes(answer, revision.era)
        )

    async def _get(
        self,
        query: dict[str, str],
        timeout: units.Seconds,
        connections: pool.ConnectionPool | None = None,
    ) -> result.Result[_Answer, codecs.SourceError]:
        target = self._path
        if query:
            target += "?" + urllib.parse.urlencode(query)
        exchanged = await (connections or self._pool).exchange(
            client.RequestHead("GET", target),
            timeout=timeout,
            max_body=_MAX_RESPONSE,
        )
        if isinstance(exchanged, result.Err):
            kind = exchanged.err_value.kind
            return result.Err(_ERRORS.get(kind, codecs.SourceError.UNAVAILABLE))
        response = exchanged.ok_value
        if response.head.status == _GONE_STATUS:
            return result.Err(codecs.SourceError.HISTORY_GONE)
        if response.head.status in _REFUSED_STATUSES:
            return result.Err(codecs.SourceError.REFUSED)
        try:
            return result.Ok(
                _Answer(_era(response.head), await _parse(response.body))
            )
        except (fields.FieldError, orjson.JSONDecodeError, ValueError):
            return result.Err(codecs.SourceError.MALFORMED)

    def _decode_items(
        self, answer: _Answer
    ) -> tuple[peer_state.StoredObject, ...]:
        """Returns the objects of a page, without those that have no name.

        Raises:
            FieldError: The answer has no items.
        """
        decoded = (
            self._decode_object(item, answer.era)
            for item in fields.array(answer.body, "items")
        )
        return tuple(stored for stored in decoded if stored is not None)

    def _decode_changes(
        self, answer: _Answer, asked_era: ids.StoreEra
    ) -> result.Result[codecs.Changes, codecs.SourceError]:
        """Returns the changed objects, removed names and revision of a watch.

        In another era the revision that was asked from stands for other
        contents, so that changes may be missing from the answer.
        """
        if answer.era != asked_era:
            return result.Err(codecs.SourceError.HISTORY_GONE)
        latest: dict[str, peer_state.StoredObject | None] = {}
        try:
            for item in fields.array(answer.body, "events"):
                event = fields.as_table(item, "events")
                stored = self._decode_object(event.get("object"), answer.era)
                if stored is not None:
                    deleted = fields.boolean(event, "deleted")
                    latest[stored.name] = None if deleted else stored
            revision = answer.revision
        except fields.FieldError:
            return result.Err(codecs.SourceError.MALFORMED)
        return result.Ok(
            (
                tuple(o for o in latest.values() if o is not None),
                tuple(name for name, o in latest.items() if o is None),
                revision,
            )
        )

    def _decode_object(
        self, item: fields.JsonValue, era: ids.StoreEra
    ) -> peer_state.StoredObject | None:
        """Returns an object with its content as JSON bytes.

        Other writers may leave odd objects. One with a name has no content if
        it can't be read or encoded; one without a name is left out.
        """
        try:
            metadata = fields.as_table(
                fields.as_table(item, "object").get("metadata"), "metadata"
            )
            name = fields.string(metadata, "name")
            if len(name) > _MAX_NAME:
                raise fields.FieldError("name", "is too long")
        except fields.FieldError as error:
            self._log.emit(
                events.Event.SERVER_ENTRY_REJECTED,
                server=None,
                era=era,
                revision=None,
                reason=str(error),
            )
            return None
        try:
            number = fields.integer(metadata, "revision", 0)
            spec = orjson.dumps(item.get("spec"))
        except (fields.FieldError, orjson.JSONEncodeError):
            number, spec = 0, _UNREADABLE_SPEC
        return peer_state.StoredObject(
            name,
            store_revisions.StoreRevision(era, ids.ObjectVersion(number)),
            spec,
        )


def _watch_query(
    revision: store_revisions.StoreRevision, wait_ms: int
) -> dict[str, str]:
    return {"watch": str(revision.number), "wait_ms": str(wait_ms)}


def _era(head: client.ResponseHead) -> ids.StoreEra:
    """Returns the era of the store; 0 if it states none that can be read."""
    value = head.header(header_names.STORE_ERA) or ""
    return ids.StoreEra(decimals.parse(value) or 0)


async def _parse(body: bytes) -> dict[str, fields.JsonValue]:
    """Returns the body of an answer; odd objects in it have no content.

    Other tasks run while an odd body is divided into its parts.

    Raises:
        FieldError: The body is not an object.
        ValueError: It is no JSON, apart from the objects in it.
    """
    try:
        return fields.as_table(orjson.loads(body), "body")
    except orjson.JSONDecodeError:
        outline = json_outline.Outline(body)
    for _ in outline.steps():
        await asyncio.sleep(0)
    if outline.root.is_array or not outline.root.readable:
        raise fields.FieldError("body", "is not a table that can be read")
    parsed: dict[str, fields.JsonValue] = {}
    for member in outline.root.parts:
        key, value = outline.key(member)
        if member.container is None or not member.container.is_array:
            parsed[orjson.loads(key)] = orjson.loads(value)
            continue
        if not member.container.readable:
            raise fields.FieldError("body", "has too many objects")
        parsed[orjson.loads(key)] = elements = []
        for element in member.container.parts:
            elements.append(_parse_element(outline, element))
            if element.end - element.start > _LARGE_ELEMENT:
                await asyncio.sleep(0)
    return parsed


def _parse_element(
    outline: json_outline.Outline, element: json_outline.Part
) -> fields.JsonValue:
    """Returns an object or an event, without what can't be parsed in it.

    Raises:
        ValueError: A member has no key.
    """
    try:
        return orjson.loads(outline.text(element))
    except orjson.JSONDecodeError:
        container = element.container
    if container is None or container.is_array or not container.readable:
        return None
    parsed: dict[str, fields.JsonValue] = {}
    for member in container.parts:
        key, value = outline.key(member)
        try:
            parsed[orjson.loads(key)] = orjson.loads(value)
        except orjson.JSONDecodeError:
            if key == _OBJECT_KEY:
                parsed["object"] = _parse_element(
                    outline,
                    json_outline.Part(
                        member.end - len(value), member.end, member.container
                    ),
                )
    return parsed
