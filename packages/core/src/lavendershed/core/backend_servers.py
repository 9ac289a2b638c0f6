"""Interfaces of backend servers: model engines and plain services."""

from __future__ import annotations

import abc
import dataclasses
import enum

import result

from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units


class BackendErrorKind(enum.Enum):
    """How a call to a backend server failed."""

    CONNECTION_REFUSED = "connection_refused"
    REFUSED_BEFORE_START = "refused_before_start"
    CONNECTION_LOST = "connection_lost"
    IDLE_TIMEOUT = "idle_timeout"
    PROTOCOL = "protocol"
    UNKNOWN_STREAM = "unknown_stream"
    STALE_FENCING_NUMBER = "stale_fencing_number"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendError:
    """A failed call to a backend server.

    Attributes:
        kind: How the call failed.
        sent: Whether any byte of the request may have reached the server.
        detail: Error message for logs.
        leaving: Whether the server announced its shutdown.
    """

    kind: BackendErrorKind
    sent: bool
    detail: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Daemon process that owns allocations of engine memory."""

    vm: ids.VmId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRequest:
    """A request to start one stream on a model engine.

    Attributes:
        block_hashes: Chained hashes of the prompt's fixed-size token blocks,
            for prefix cache lookups.
        priority: Smaller numbers run first.
        timeout: Time limit for the whole stream.
        kv_imports: Imported KV cache segments to attach before the prefill.
        resume_text: Text already delivered by an earlier attempt; the engine
            appends it to the prompt and continues at `first_offset`.
        first_offset: Output offset of the first token that this stream
            generates.
        reservation: Memory reservation that the stream takes over.
    """

    stream_id: ids.StreamId
    attempt_id: ids.AttemptId
    owner: Owner
    model: ids.ModelId
    adapter: ids.AdapterId | None
    prompt: str
    prompt_tokens: units.Tokens
    block_hashes: tuple[int, ...]
    max_tokens: units.Tokens
    priority: int
    timeout: units.Milliseconds
    kv_imports: tuple[ids.KvHandle, ...] = ()
    resume_text: str = ""
    first_offset: int = 0
    reservation: ids.ReservationId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAccepted:
    """The engine has accepted the stream and started its execution."""

    attempt_id: ids.AttemptId
    incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class TokenBatch:
    """Consecutive tokens that arrived in one read.

    Attributes:
        attempt_id: Attempt that the engine reports for the stream.
        offset: Offset of the first token in the output.
        events: One encoded token event per token; decision code treats them
            as opaque, so that relaying does not re-encode them.
    """

    attempt_id: ids.AttemptId
    offset: int
    events: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """The engine has generated the complete output."""

    attempt_id: ids.AttemptId
    token_count: units.Tokens
    reason: states.FinishReason


StreamEvent = StreamAccepted | TokenBatch | StreamEnd


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one engine at `timestamp`.

    Attributes:
        timestamp: Seconds on the engine's monotonic clock.
        waiting: Streams that have not started their prefill.
        prefill_tokens_queued: Prompt tokens not yet prefilled.
    """

    timestamp: float
    incarnation: ids.Incarnation
    running: int
    waiting: int
    prefill_tokens_queued: units.Tokens
    kv_bytes_used: units.Bytes
    kv_bytes_total: units.Bytes
    role: states.EngineRole
    models: tuple[ids.ModelId, ...]
    leaving: bool
    adapters: tuple[ids.AdapterId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One numbered change of an engine's prefix cache."""

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class AllocationKind(enum.Enum):
    """Purpose of an allocation of engine memory."""

    STREAM = "stream"
    EXPORTED_KV = "exported_kv"
    IMPORTED_KV = "imported_kv"
    RESERVATION = "hold"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAllocation:
    """One memory allocation, as the engine itself reports it."""

    kind: AllocationKind
    allocation_id: str
    owner: Owner
    size: units.Bytes


class OrderKind(enum.Enum):
    """Placement operations that a model engine supports."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An idempotent placement operation that an engine is to execute.

    Attributes:
        target: Model, adapter or role that the operation applies to.
        fencing_number: Fencing number of the lease that it was issued under.
    """

    order_id: ids.OrderId
    kind: OrderKind
    target: str
    fencing_number: ids.FencingNumber


class EngineStream(abc.ABC):
    """Open connection on which an engine sends a stream."""

    @abc.abstractmethod
    async def read(
        self,
    ) -> result.Result[tuple[StreamEvent, ...], BackendError]:
        """Returns the events of one read; at least one."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection without cancelling the stream."""


class ModelEngine(abc.ABC):
    """Client of one model engine."""

    @abc.abstractmethod
    async def start_stream(
        self, request: StreamRequest
    ) -> result.Result[EngineStream, BackendError]:
        """Starts a stream; returns once the engine accepts or rejects it."""

    @abc.abstractmethod
    async def resume_stream(
        self, stream: ids.StreamId, offset: int
    ) -> result.Result[EngineStream, BackendError]:
        """Reconnects to a stream and continues from token `offset`."""

    @abc.abstractmethod
    async def cancel_stream(
        self, stream: ids.StreamId
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Cancels a stream; Ok confirms that its memory is released."""

    @abc.abstractmethod
    async def load_report(self) -> result.Result[LoadReport, BackendError]:
        """Reads the engine's latest load report."""

    @abc.abstractmethod
    async def cache_events(
        self, after: int
    ) -> result.Result[tuple[CacheEvent, ...], BackendError]:
        """Reads cache events with a sequence number above `after`."""

    @abc.abstractmethod
    async def list_allocations(
        self, owner: Owner | None
    ) -> result.Result[tuple[EngineAllocation, ...], BackendError]:
        """Lists memory allocations, of one owner or of all."""

    @abc.abstractmethod
    async def create_reservation(
        self,
        reservation: ids.ReservationId,
        owner: Owner,
        size: units.Bytes,
        lifetime: units.Seconds,
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Reserves `size` bytes of KV memory for `lifetime` seconds."""

    @abc.abstractmethod
    async def release_reservation(
        self, reservation: ids.ReservationId
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Releases a reservation; Ok also if the engine does not know it."""

    @abc.abstractmethod
    async def export_kv(
        self,
        request: StreamRequest,
        handle: ids.KvHandle,
        reservation: ids.ReservationId | None,
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Prefills the prompt and retains its KV cache under `handle`."""

    @abc.abstractmethod
    async def import_kv(
        self,
        source: str,
        handle: ids.KvHandle,
        owner: Owner,
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Imports exported KV cache from the engine at address `source`."""

    @abc.abstractmethod
    async def release_kv(
        self, handle: ids.KvHandle
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Releases exported or imported KV cache.

        Ok also if the engine does not know the handle.
        """

    @abc.abstractmethod
    async def execute_order(
        self, order: EngineOrder
    ) -> result.Result[ids.Incarnation, BackendError]:
        """Executes a placement operation."""

    @abc.abstractmethod
    def decode_text(self, events: tuple[bytes, ...]) -> str:
        """Decodes the text of token events that `read` returned."""


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service.

    Attributes:
        fresh_connection: Use a connection opened for this call only, so that
            a lost response can't be confused with a stale pooled connection.
        timeout: Time limit of the whole call.
        send_deadline: No byte is sent at or after this instant; the call then
            fails as not sent.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    attempt_id: ids.AttemptId
    fresh_connection: bool
    timeout: units.Seconds
    send_deadline: units.Instant | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """A complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(abc.ABC):
    """Client of one backend server of a plain service."""

    @abc.abstractmethod
    async def call(
        self, call: PlainCall
    ) -> result.Result[PlainResponse, BackendError]:
        """Sends the call once and returns the complete response."""
