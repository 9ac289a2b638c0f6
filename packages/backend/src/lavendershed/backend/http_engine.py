"""HTTP client of a model engine."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
from typing import Any
from typing import TypeVar
import urllib.parse

import orjson
import result

from lavendershed.backend import event_stream
from lavendershed.backend import json_members
from lavendershed.backend import transport_errors
from lavendershed.core import backend_servers
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.transport import client
from lavendershed.transport import pool

_MAX_ERROR_BODY_BYTES = units.Bytes(64_000)

T = TypeVar("T")


class HttpModelEngine(backend_servers.ModelEngine):
    """Model engine at one address."""

    def __init__(self, connections: pool.ConnectionPool) -> None:
        self._pool = connections

    async def start_stream(
        self, request: backend_servers.StreamRequest
    ) -> result.Result[
        backend_servers.EngineStream, backend_servers.BackendError
    ]:
        """Starts a stream; returns once the response head has arrived."""
        return await self._open_stream(
            client.RequestHead("POST", "/v1/streams"),
            orjson.dumps(
                {
                    "stream_id": request.stream_id,
                    "attempt_id": request.attempt_id,
                    "owner": _format_owner(request.owner),
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
        """Resumes a stream at token `offset` on a new connection."""
        return await self._open_stream(
            client.RequestHead(
                "GET",
                f"/v1/streams/{_quote_path_segment(stream)}?from={offset}",
            ),
            b"",
        )

    async def cancel_stream(
        self, stream: ids.StreamId
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Cancels a stream; Ok confirms that its memory was released."""
        return await self._fetch_incarnation(
            "DELETE", f"/v1/streams/{_quote_path_segment(stream)}"
        )

    async def load_report(
        self,
    ) -> result.Result[
        backend_servers.LoadReport, backend_servers.BackendError
    ]:
        """Reads the engine's latest load report."""
        return await self._fetch(
            client.RequestHead("GET", "/v1/load"), _parse_load_report
        )

    async def cache_events(
        self, after: int
    ) -> result.Result[
        tuple[backend_servers.CacheEvent, ...], backend_servers.BackendError
    ]:
        """Reads cache events with a sequence number above `after`."""
        return await self._fetch(
            client.RequestHead("GET", f"/v1/cache-events?after={after}"),
            lambda content: tuple(
                backend_servers.CacheEvent(
                    json_members.non_negative_integer(item, "sequence"),
                    json_members.integers(item, "stored"),
                    json_members.integers(item, "evicted"),
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
        """Lists the allocations of one owner or of all owners."""
        query = urllib.parse.urlencode(
            {"owner": _format_owner(owner)} if owner else {}
        )
        return await self._fetch(
            client.RequestHead("GET", f"/v1/allocations?{query}"),
            lambda content: tuple(
                backend_servers.EngineAllocation(
                    backend_servers.AllocationKind(item["kind"]),
                    json_members.string(item, "id"),
                    _parse_owner(json_members.string(item, "owner")),
                    units.Bytes(
                        json_members.non_negative_integer(item, "bytes")
                    ),
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
        return await self._fetch_incarnation(
            "POST",
            "/v1/holds",
            {
                "hold_id": reservation,
                "owner": _format_owner(owner),
                "bytes": size,
                "lifetime_ms": int(lifetime * 1000),
            },
        )

    async def release_reservation(
        self, reservation: ids.ReservationId
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Releases a reservation; Ok also if it is unknown."""
        return await self._fetch_incarnation(
            "DELETE", f"/v1/holds/{_quote_path_segment(reservation)}"
        )

    async def export_kv(
        self,
        request: backend_servers.StreamRequest,
        handle: ids.KvHandle,
        reservation: ids.ReservationId | None,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Prefills the prompt and keeps its KV cache under `handle`."""
        return await self._fetch_incarnation(
            "POST",
            "/v1/kv/export",
            {
                "handle": handle,
                "attempt_id": request.attempt_id,
                "owner": _format_owner(request.owner),
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
        """Imports the KV cache that the engine at address `source` exported."""
        return await self._fetch_incarnation(
            "POST",
            "/v1/kv/import",
            {"source": source, "handle": handle, "owner": _format_owner(owner)},
        )

    async def release_kv(
        self, handle: ids.KvHandle
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Releases an exported or imported KV cache; Ok also if unknown."""
        return await self._fetch_incarnation(
            "DELETE", f"/v1/kv/{_quote_path_segment(handle)}"
        )

    async def execute_order(
        self, order: backend_servers.EngineOrder
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        """Executes a placement order."""
        return await self._fetch_incarnation(
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
        return event_stream.decode_token_text(events)

    async def _open_stream(
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
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(connection.close)
            sent = await connection.send(head, body, timeout)
            if isinstance(sent, result.Err):
                return result.Err(
                    transport_errors.backend_error(sent.err_value)
                )
            response_head = await connection.read_head(timeout)
            if isinstance(response_head, result.Err):
                return result.Err(
                    transport_errors.backend_error(response_head.err_value)
                )
            if response_head.ok_value.status == 200:
                cleanup.pop_all()
                return result.Ok(stream)
            content = await connection.read_body(timeout, _MAX_ERROR_BODY_BYTES)
            cleanup.pop_all()
        self._pool.release(connection)
        return result.Err(
            _response_error(
                response_head.ok_value.status, content.unwrap_or(b"")
            )
        )

    async def _fetch(
        self,
        head: client.RequestHead,
        decode: Callable[[dict[str, Any]], T],
        body: bytes = b"",
        timeout: units.Seconds | None = None,
    ) -> result.Result[T, backend_servers.BackendError]:
        outcome = await self._pool.exchange(head, body, timeout=timeout)
        if isinstance(outcome, result.Err):
            return result.Err(transport_errors.backend_error(outcome.err_value))
        response = outcome.ok_value
        if response.head.status != 200:
            return result.Err(
                _response_error(response.head.status, response.body)
            )
        try:
            return result.Ok(decode(orjson.loads(response.body)))
        except json_members.DECODE_ERRORS as error:
            return result.Err(_protocol_error(f"malformed response: {error!r}"))

    async def _fetch_incarnation(
        self,
        method: str,
        target: str,
        content: dict[str, Any] | None = None,
        timeout: units.Seconds | None = None,
    ) -> result.Result[ids.Incarnation, backend_servers.BackendError]:
        body = orjson.dumps(content) if content is not None else b""
        return await self._fetch(
            client.RequestHead(method, target),
            lambda c: ids.Incarnation(
                json_members.non_negative_integer(c, "incarnation")
            ),
            body,
            timeout,
        )


def _quote_path_segment(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _format_owner(owner: backend_servers.Owner) -> str:
    return f"{owner.vm}/{owner.incarnation}"


def _parse_owner(text: str) -> backend_servers.Owner:
    vm, _, incarnation = text.rpartition("/")
    return backend_servers.Owner(
        ids.VmId(vm), ids.Incarnation(int(incarnation))
    )


def _parse_load_report(content: dict[str, Any]) -> backend_servers.LoadReport:
    return backend_servers.LoadReport(
        float(content["timestamp"]),
        ids.Incarnation(
            json_members.non_negative_integer(content, "incarnation")
        ),
        json_members.non_negative_integer(content, "running"),
        json_members.non_negative_integer(content, "waiting"),
        units.Tokens(
            json_members.non_negative_integer(content, "prefill_tokens_queued")
        ),
        units.Bytes(
            json_members.non_negative_integer(content, "kv_bytes_used")
        ),
        units.Bytes(
            json_members.non_negative_integer(content, "kv_bytes_total")
        ),
        states.EngineRole(content["role"]),
        tuple(ids.ModelId(m) for m in json_members.strings(content, "models")),
        json_members.boolean(content, "leaving"),
        tuple(
            ids.AdapterId(a) for a in json_members.strings(content, "adapters")
        ),
    )


def _protocol_error(detail: str) -> backend_servers.BackendError:
    return backend_servers.BackendError(
        backend_servers.BackendErrorKind.PROTOCOL, True, detail
    )


def _response_error(status: int, body: bytes) -> backend_servers.BackendError:
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
