"""Client of the object API over HTTP."""

from __future__ import annotations

import base64
import urllib.parse

import orjson
import result

from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import errors
from lavendershed.transport import pool

_STATUS_KINDS = {
    404: object_store.StoreErrorKind.ABSENT,
    412: object_store.StoreErrorKind.CONFLICT,
    413: object_store.StoreErrorKind.TOO_LARGE,
    429: object_store.StoreErrorKind.THROTTLED,
}
_MAX_RESPONSE_BYTES = units.Bytes(64_000_000)
# A watch answers within its timeout; this is added for the way there and back.
_WATCH_MARGIN = units.Seconds(2.0)


class HttpObjectStore(object_store.ObjectStore):
    """The object API at one address."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        self._pool = connections

    async def get(
        self, key: ids.ObjectKey
    ) -> result.Result[object_store.StoredObject, object_store.StoreError]:
        """Reads one object."""
        answer = await self._call(client.RequestHead("GET", _object_path(key)))
        if isinstance(answer, result.Err):
            return answer
        version = _version(answer.ok_value)
        return result.Ok(
            object_store.StoredObject(key, version, answer.ok_value.body)
        )

    async def put(
        self,
        key: ids.ObjectKey,
        value: bytes,
        condition: object_store.Condition,
    ) -> result.Result[ids.ObjectVersion, object_store.StoreError]:
        """Writes one object if `condition` holds; returns its new version."""
        header = (
            ("if-none-match", "*")
            if isinstance(condition, object_store.IfAbsent)
            else ("if-match", str(condition.version))
        )
        head = client.RequestHead("PUT", _object_path(key), (header,))
        answer = await self._call(head, value, write=True)
        return answer.map(_version)

    async def delete(
        self, key: ids.ObjectKey, version: ids.ObjectVersion
    ) -> result.Result[None, object_store.StoreError]:
        """Deletes one object if it has exactly this version."""
        head = client.RequestHead(
            "DELETE", _object_path(key), (("if-match", str(version)),)
        )
        answer = await self._call(head, write=True)
        return answer.map(lambda _: None)

    async def list(
        self, prefix: str, after: ids.ObjectKey | None = None
    ) -> result.Result[
        tuple[object_store.StoredObject, ...], object_store.StoreError
    ]:
        """Reads one page of objects in key order, after the key `after`."""
        query = urllib.parse.urlencode({"prefix": prefix, "after": after or ""})
        answer = await self._call(
            client.RequestHead("GET", f"/objects?{query}")
        )
        if isinstance(answer, result.Err):
            return answer
        return result.Ok(
            tuple(
                object_store.StoredObject(
                    ids.ObjectKey(item["key"]),
                    ids.ObjectVersion(item["version"]),
                    base64.b64decode(item["value"]),
                )
                for item in orjson.loads(answer.ok_value.body)["objects"]
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
        answer = await self._call(
            client.RequestHead("GET", f"/watch?{query}"),
            timeout=units.Seconds(timeout + _WATCH_MARGIN),
        )
        if isinstance(answer, result.Err):
            return answer
        content = orjson.loads(answer.ok_value.body)
        return result.Ok(
            object_store.WatchBatch(
                tuple(
                    object_store.WatchEvent(
                        ids.ObjectKey(item["key"]),
                        ids.ObjectVersion(item["version"]),
                        None
                        if item["value"] is None
                        else base64.b64decode(item["value"]),
                    )
                    for item in content["events"]
                ),
                ids.ObjectVersion(content["upto"]),
            )
        )

    async def vms(
        self,
    ) -> result.Result[object_store.VmList, object_store.StoreError]:
        """Reads the lagging list of live and leaving VMs."""
        answer = await self._call(client.RequestHead("GET", "/vms"))
        if isinstance(answer, result.Err):
            return answer
        content = orjson.loads(answer.ok_value.body)
        return result.Ok(
            object_store.VmList(
                frozenset(content["live"]), frozenset(content["leaving"])
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
        answer = await self._pool.exchange(
            head, body, timeout=timeout, max_body=_MAX_RESPONSE_BYTES
        )
        if isinstance(answer, result.Err):
            return result.Err(_transport_error(answer.err_value, write))
        status = answer.ok_value.head.status
        if status < 300:
            return answer
        kind = _STATUS_KINDS.get(
            status, object_store.StoreErrorKind.UNAVAILABLE
        )
        return result.Err(
            object_store.StoreError(kind, f"{head.target}: status {status}")
        )


def _transport_error(
    error: errors.TransportError, write: bool
) -> object_store.StoreError:
    kind = (
        object_store.StoreErrorKind.AMBIGUOUS
        if write and error.sent
        else object_store.StoreErrorKind.UNAVAILABLE
    )
    return object_store.StoreError(kind, error.detail)


def _object_path(key: ids.ObjectKey) -> str:
    return "/objects/" + urllib.parse.quote(key)


def _version(response: client.Response) -> ids.ObjectVersion:
    return ids.ObjectVersion(int(response.head.header("etag") or 0))
