"""Client of one model engine over HTTP."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
from typing import Any
from typing import TypeVar
import urllib.parse

import orjson
import result

from lavendershed.backend import event_stream
from lavendershed.backend import members
from lavendershed.backend import transport_errors
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import pool

_MAX_ERROR_BYTES = units.Bytes(64_000)

T = TypeVar("T")


class HttpModelEngine(backend_servers.ModelEngine):
    """The model engine at one address."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        self._pool = connections

    async def start_stream(
        self, request: backend_servers.StreamRequest
    ) -> result.Result[
        backend_servers.EngineStream, backend_servers.BackendError
    ]:
        """Starts a stream; returns once the engine has answered."""
        return await self._open(
            client.RequestHead("POST", "/v1/streams"),
            orjson.dumps(
                {
                    "stream_id": request.stream_id,
                    "attempt_id": request.attempt_id,
                    "owner": _owner_text(request.owner),
                    "model": request.model,
                    "adapter": request.adapter,
                    "prompt": request.prompt,
                    "prompt_tokens": request.prompt_tokens,
                    "block_hashes": request.block_hashes,
                    "max_tokens": request.max_tokens,
                    "priority": request.priority,
                    "deadline_ms": request.timeout,
                    "kv_imports": request.kv_imports,
                    "resume_text": request.resume_text,
                    "first_offset": request.first_offset,
                    "hold": request.reservation,
                }
            ),
        )

    async def resume_stream(
        self, stream: ids.StreamId, offset: int
    ) -> result.Result[
        backend_servers.EngineStream, backend_servers.BackendError
    ]:
        """Opens a new connection and continues from token `offset`."""
        return await self._open(
            client.RequestHead(
                "GET", f"/v1/streams/{_quoted(stream)}?from={offset}"
            ),
            b"",
        )

    async def cancel_stream(
        self, stream: ids.StreamId
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Cancels a stream; Ok confirms that its memory is released."""
        return await self._confirm("DELETE", f"/v1/streams/{_quoted(stream)}")

    async def load_report(
        self,
    ) -> result.Result[
        backend_servers.LoadReport, backend_servers.BackendError
    ]:
        """Reads the engine's latest load report."""
        return await self._read(
            client.RequestHead("GET", "/v1/load"), _load_report
        )

    async def cache_events(
        self, after: int
    ) -> result.Result[
        tuple[backend_servers.CacheEvent, ...], backend_servers.BackendError
    ]:
        """Reads cache events with a sequence number above `after`."""
        return await self._read(
            client.RequestHead("GET", f"/v1/cache-events?after={after}"),
            lambda content: tuple(
                backend_servers.CacheEvent(
                    members.natural(item, "sequence"),
                    members.numbers(item, "stored"),
                    members.numbers(item, "evicted"),
                )
                for item in content["events"]
            ),
        )

    async def list_allocations(
        self, owner: backend_servers.Owner | None
    ) -> result.Result[
        tuple[backend_servers.EngineAllocation, ...],
        backend_servers.BackendError,
    ]:
        """Lists allocations, of one owner or of all."""
        query = urllib.parse.urlencode(
            {"owner": _owner_text(owner)} if owner else {}
        )
        return await self._read(
            client.RequestHead("GET", f"/v1/allocations?{query}"),
            lambda content: tuple(
                backend_servers.EngineAllocation(
                    backend_servers.AllocationKind(item["kind"]),
                    members.text(item, "id"),
                    _owner(members.text(item, "owner")),
                    units.Bytes(members.natural(item, "bytes")),
                )
                for item in content["allocations"]
            ),
        )

    async def create_reservation(
        self,
        reservation: ids.ReservationId,
        owner: backend_servers.Owner,
        size: units.Bytes,
        lifetime: units.Seconds,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Reserves `size` bytes of KV memory for `lifetime` seconds."""
        return await self._confirm(
            "POST",
            "/v1/holds",
            {
                "hold_id": reservation,
                "owner": _owner_text(owner),
                "bytes": size,
                "lifetime_ms": int(lifetime * 1000),
            },
        )

    async def release_reservation(
        self, reservation: ids.ReservationId
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Releases a hold; an unknown hold confirms too."""
        return await self._confirm(
            "DELETE", f"/v1/holds/{_quoted(reservation)}"
        )

    async def export_kv(
        self,
        request: backend_servers.StreamRequest,
        handle: ids.KvHandle,
        reservation: ids.ReservationId | None,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Prefills the request's prompt and keeps its KV under `handle`."""
        return await self._confirm(
            "POST",
            "/v1/kv/export",
            {
                "handle": handle,
                "attempt_id": request.attempt_id,
                "owner": _owner_text(request.owner),
                "prompt_tokens": request.prompt_tokens,
                "block_hashes": request.block_hashes,
                "priority": request.priority,
                "deadline_ms": request.timeout,
                "kv_imports": request.kv_imports,
                "hold": reservation,
            },
            timeout=units.Seconds(request.timeout / 1000),
        )

    async def import_kv(
        self,
        source: str,
        handle: ids.KvHandle,
        owner: backend_servers.Owner,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Imports exported KV from the engine at the address `source`."""
        return await self._confirm(
            "POST",
            "/v1/kv/import",
            {"source": source, "handle": handle, "owner": _owner_text(owner)},
        )

    async def release_kv(
        self, handle: ids.KvHandle
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Releases exported or imported KV; an unknown handle confirms too."""
        return await self._confirm("DELETE", f"/v1/kv/{_quoted(handle)}")

    async def execute_order(
        self, order: backend_servers.EngineOrder
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Carries out a placement order."""
        return await self._confirm(
            "POST",
            "/v1/orders",
            {
                "order_id": order.order_id,
                "kind": order.kind.value,
                "target": order.target,
                "fencing_number": order.fencing_number,
            },
        )

    def decode_text(self, events: tuple[bytes, ...]) -> str:
        """Decodes the text of token events that `read` returned."""
        return event_stream.text_of(events)

    async def _open(
        self, head: client.RequestHead, body: bytes
    ) -> result.Result[
        backend_servers.EngineStream, backend_servers.BackendError
    ]:
        acquired = await self._pool.acquire()
        if isinstance(acquired, result.Err):
            return result.Err(
                transport_errors.backend_error(acquired.err_value)
            )
        connection = acquired.ok_value
        stream = event_stream.HttpEngineStream(connection, self._pool)
        timeout = self._pool.limits.idle_timeout
        with contextlib.ExitStack() as unfinished:
            unfinished.callback(connection.close)
            sent = await connection.send(head, body, timeout)
            if isinstance(sent, result.Err):
                return result.Err(
                    transport_errors.backend_error(sent.err_value)
                )
            answer = await connection.read_head(timeout)
            if isinstance(answer, result.Err):
                return result.Err(
                    transport_errors.backend_error(answer.err_value)
                )
            if answer.ok_value.status == 200:
                unfinished.pop_all()
                return result.Ok(stream)
            content = await connection.read_body(timeout, _MAX_ERROR_BYTES)
            unfinished.pop_all()
        self._pool.release(connection)
        return result.Err(
            _refusal(answer.ok_value.status, content.unwrap_or(b""))
        )

    async def _read(
        self,
        head: client.RequestHead,
        decode: Callable[[dict[str, Any]], T],
        body: bytes = b"",
        timeout: units.Seconds | None = None,
    ) -> result.Result[T, backend_servers.BackendError]:
        answer = await self._pool.exchange(head, body, timeout=timeout)
        if isinstance(answer, result.Err):
            return result.Err(transport_errors.backend_error(answer.err_value))
        response = answer.ok_value
        if response.head.status != 200:
            return result.Err(_refusal(response.head.status, response.body))
        try:
            return result.Ok(decode(orjson.loads(response.body)))
        except members.MALFORMED as error:
            return result.Err(_protocol_error(f"malformed answer: {error!r}"))

    async def _confirm(
        self,
        method: str,
        target: str,
        content: dict[str, Any] | None = None,
        timeout: units.Seconds | None = None,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        body = orjson.dumps(content) if content is not None else b""
        return await self._read(
            client.RequestHead(method, target),
            lambda c: ids.Incarnation(members.natural(c, "incarnation")),
            body,
            timeout,
        )


def _quoted(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _owner_text(owner: backend_servers.Owner) -> str:
    return f"{owner.vm}/{owner.incarnation}"


def _owner(text: str) -> backend_servers.Owner:
    vm, _, incarnation = text.rpartition("/")
    return backend_servers.Owner(
        ids.VmId(vm), ids.Incarnation(int(incarnation))
    )


def _load_report(content: dict[str, Any]) -> backend_servers.LoadReport:
    return backend_servers.LoadReport(
        float(content["timestamp"]),
        ids.Incarnation(members.natural(content, "incarnation")),
        members.natural(content, "running"),
        members.natural(content, "waiting"),
        units.Tokens(members.natural(content, "prefill_tokens_queued")),
        units.Bytes(members.natural(content, "kv_bytes_used")),
        units.Bytes(members.natural(content, "kv_bytes_total")),
        states.EngineRole(content["role"]),
        tuple(ids.ModelId(m) for m in members.texts(content, "models")),
        members.flag(content, "leaving"),
        tuple(ids.AdapterId(a) for a in members.texts(content, "adapters")),
    )


def _protocol_error(detail: str) -> backend_servers.BackendError:
    return backend_servers.BackendError(
        backend_servers.BackendErrorKind.PROTOCOL, True, detail
    )


def _refusal(status: int, body: bytes) -> backend_servers.BackendError:
    try:
        content = orjson.loads(body)
    except ValueError:
        content = {}
    if not isinstance(content, dict):
        content = {}
    leaving = bool(content.get("leaving", False))
    detail = f"status {status}: {content.get('detail', '')}"
    if status == 404:
        kind = backend_servers.BackendErrorKind.UNKNOWN_STREAM
    elif status == 412:
        kind = backend_servers.BackendErrorKind.STALE_FENCING_NUMBER
    elif content.get("started") is False:
        kind = backend_servers.BackendErrorKind.REFUSED_BEFORE_START
    else:
        kind = backend_servers.BackendErrorKind.PROTOCOL
    return backend_servers.BackendError(kind, True, detail, leaving)
