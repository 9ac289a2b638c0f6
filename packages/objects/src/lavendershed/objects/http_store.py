"""HTTP client of the object store."""

from __future__ import annotations

import dataclasses
import math
from typing import Annotated
from typing import TypeVar
import urllib.parse

import pydantic
import result

from lavendershed.core import decimals
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import pool

_ERROR_KINDS_BY_STATUS = {
    404: object_store.StoreErrorKind.ABSENT,
    412: object_store.StoreErrorKind.CONFLICT,
    413: object_store.StoreErrorKind.TOO_LARGE,
    429: object_store.StoreErrorKind.THROTTLED,
}
_MAX_RESPONSE_BYTES = units.Bytes(64_000_000)
# Only these response statuses guarantee that a write had no effect.
_NO_EFFECT_STATUSES = frozenset((503, *range(400, 500)))
_MAX_RETRY_AFTER = units.Seconds(60.0)
# Added to the timeout of a watch for the network round trip.
_WATCH_ROUND_TRIP_MARGIN = units.Seconds(2.0)


T = TypeVar("T")
_Version = Annotated[int, pydantic.Field(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    key: str
    version: _Version
    value: pydantic.Base64Bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    objects: tuple[_Item, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    key: str
    version: _Version
    value: pydantic.Base64Bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    events: tuple[_Event, ...]
    upto: _Version


@dataclasses.dataclass(frozen=True, slots=True)
class _Vms:
    live: frozenset[str]
    leaving: frozenset[str]


_PAGE = pydantic.TypeAdapter(_Page)
_BATCH = pydantic.TypeAdapter(_Batch)
_VMS = pydantic.TypeAdapter(_Vms)


class HttpObjectStore(object_store.ObjectStore):
    """Object store at one address."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        self._pool = connections

    async def get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        """Reads one object."""
        outcome = await self._call(client.RequestHead("GET", _object_path(key)))
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        version = _etag_version(response)
        if version is None:
            return _malformed_response(key, "no version", write=False)
        return result.Ok(object_store.StoredObject(key, version, response.body))

    async def put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        """Writes one object if `condition` holds; returns its new version."""
        if len(value) > object_store.MAX_OBJECT_BYTES:
            return result.Err(
                object_store.StoreError(
                    object_store.StoreErrorKind.TOO_LARGE,
                    f"{key}: object of {len(value)} bytes exceeds the limit of "
                    f"{object_store.MAX_OBJECT_BYTES}",
                )
            )
        header = (
            ("if-none-match", "*")
            if isinstance(condition, object_store.IfAbsent)
            else ("if-match", str(condition.version))
        )
        head = client.RequestHead("PUT", _object_path(key), (header,))
        outcome = await self._call(head, value, write=True)
        if isinstance(outcome, result.Err):
            return outcome
        version = _etag_version(outcome.ok_value)
        if version is None:
            return _malformed_response(key, "no version", write=True)
        return result.Ok(version)

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> result.Result[None, object_store.StoreError]:
        """Deletes one object if it has exactly this version."""
        head = client.RequestHead(
            "DELETE", _object_path(key), (("if-match", str(version)),)
        )
        outcome = await self._call(head, write=True)
        return outcome.map(lambda _: None)

    async def list(
        self, prefix: str, after: ids.ObjectKey | None = None
    ) -> result.Result[
        tuple[object_store.StoredObject, ...], object_store.StoreError
    ]:
        """Reads one page of objects in key order, after the key `after`."""
        query = urllib.parse.urlencode({"prefix": prefix, "after": after or ""})
        outcome = await self._call(
            client.RequestHead("GET", f"/objects?{query}")
        )
        page = _decode_body(outcome, _PAGE)
        if isinstance(page, result.Err):
            return page
        return result.Ok(
            tuple(
                object_store.StoredObject(
                    ids.ObjectKey(item.key),
                    ids.ObjectVersion(item.version),
                    item.value,
                )
                for item in page.ok_value.objects
            )
        )

    async def watch(
        self, prefix: str, since: ids.ObjectVersion, timeout: units.Seconds
    ) -> result.Result[object_store.WatchBatch, object_store.StoreError]:
        """Waits up to `timeout` seconds for changes after version `since`."""
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "since": since,
                "timeout_ms": int(timeout * 1000),
            }
        )
        outcome = await self._call(
            client.RequestHead("GET", f"/watch?{query}"),
            timeout=units.Seconds(timeout + _WATCH_ROUND_TRIP_MARGIN),
        )
        batch = _decode_body(outcome, _BATCH)
        if isinstance(batch, result.Err):
            return batch
        return result.Ok(
            object_store.WatchBatch(
                tuple(
                    object_store.WatchEvent(
                        ids.ObjectKey(event.key),
                        ids.ObjectVersion(event.version),
                        event.value,
                    )
                    for event in batch.ok_value.events
                ),
                ids.ObjectVersion(batch.ok_value.upto),
            )
        )

    async def list_vms(
        self,
    ) -> result.Result[object_store.VmList, object_store.StoreError]:
        """Reads the list of live and leaving VMs, which may be outdated."""
        outcome = await self._call(client.RequestHead("GET", "/vms"))
        vms = _decode_body(outcome, _VMS)
        if isinstance(vms, result.Err):
            return vms
        return result.Ok(
            object_store.VmList(
                frozenset(map(ids.VmId, vms.ok_value.live)),
                frozenset(map(ids.VmId, vms.ok_value.leaving)),
            )
        )

    async def _call(
        self,
        head: client.RequestHead,
        body: bytes = b"",
        *,
        write: bool = False,
        timeout: units.Seconds | None = None,
    ) -> result.Result[client.Response, object_store.StoreError]:
        outcome = await self._pool.exchange(
            head, body, timeout=timeout, max_body=_MAX_RESPONSE_BYTES
        )
        if isinstance(outcome, result.Err):
            return result.Err(_transport_error(outcome.err_value, write))
        status = outcome.ok_value.head.status
        if status < 300:
            return outcome
        return result.Err(
            object_store.StoreError(
                _error_kind(status, write),
                f"{head.target}: status {status}",
                _retry_after(outcome.ok_value),
            )
        )


def _error_kind(status: int, write: bool) -> object_store.StoreErrorKind:
    kind = _ERROR_KINDS_BY_STATUS.get(status)
    if kind is not None:
        return kind
    if write and status not in _NO_EFFECT_STATUSES:
        return object_store.StoreErrorKind.AMBIGUOUS
    return object_store.StoreErrorKind.UNAVAILABLE


def _retry_after(response: client.Response) -> units.Seconds | None:
    try:
        seconds = float(response.head.header("retry-after") or "")
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return units.Seconds(min(seconds, _MAX_RETRY_AFTER))


def _transport_error(
    error: errors.TransportError, write: bool
) -> object_store.StoreError:
    kind = (
        object_store.StoreErrorKind.AMBIGUOUS
        if write and error.sent
        else object_store.StoreErrorKind.UNAVAILABLE
    )
    return object_store.StoreError(kind, error.detail)


def _decode_body(
    outcome: result.Result[client.Response, object_store.StoreError],
    adapter: pydantic.TypeAdapter[T],
) -> result.Result[T, object_store.StoreError]:
    if isinstance(outcome, result.Err):
        return outcome
    try:
        return result.Ok(adapter.validate_json(outcome.ok_value.body))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = ".".join(map(str, first["loc"]))
        return _malformed_response(field, first["msg"], write=False)


def _malformed_response(
    subject: str, detail: str, *, write: bool
) -> result.Err[object_store.StoreError]:
    # A write whose response is malformed may have taken effect.
    kind = (
        object_store.StoreErrorKind.AMBIGUOUS
        if write
        else object_store.StoreErrorKind.UNAVAILABLE
    )
    return result.Err(
        object_store.StoreError(
            kind, f"malformed response: {subject}: {detail}"
        )
    )


def _object_path(key: ids.ObjectKey) -> str:
    return "/objects/" + urllib.parse.quote(key)


def _etag_version(response: client.Response) -> ids.ObjectVersion | None:
    number = decimals.parse(response.head.header("etag") or "")
    return None if number is None else ids.ObjectVersion(number)
