"""Stand-in of a model engine's HTTP interface."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import re

import orjson
import result

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.standin import engine_model
from lavendershed.standin import history as history_module
from lavendershed.standin import json_handler
from lavendershed.transport import server

_STREAM = re.compile(r"/v1/streams/([^/]+)")
# A prompt that contains this text crashes the engine that runs it.
CRASH_MARKER = "crash-the-engine"
_CRASH_STATUS = 70


@dataclasses.dataclass(slots=True)
class _LiveStream:
    attempt_id: str
    owner: str
    prompt: str
    first_offset: int
    max_tokens: int
    produced: int = 0
    finished: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class ModelEngineHandler(json_handler.JsonHandler):
    """Runs the timing model in real time and streams its tokens."""

    def __init__(
        self,
        settings: engine_model.EngineSettings,
        models: tuple[str, ...],
        history: history_module.History,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._model = engine_model.EngineModel(settings)
        self._models = models
        self._history = history
        self._incarnation = generator.getrandbits(52)
        self._streams: dict[str, _LiveStream] = {}
        self._work = asyncio.Event()
        self._leaving = False

    async def run(self) -> None:
        """Steps the model until cancelled."""
        while True:
            if self._model.idle:
                self._work.clear()
                await self._work.wait()
            step = self._model.step()
            await asyncio.sleep(step.duration)
            for name in step.decoded:
                stream = self._streams.get(name)
                if stream is None:
                    continue
                stream.produced += 1
                stream.finished = name in step.finished
                stream.changed.set()
                stream.changed = asyncio.Event()

    async def handle(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        """Answers one call."""
        match = _STREAM.fullmatch(request.path)
        if request.path == "/v1/streams" and request.method == "POST":
            await self._start_stream(request, responder)
        elif match and request.method == "GET":
            await self._resume(match[1], request, responder)
        elif match and request.method == "DELETE":
            await self._cancel(match[1], responder)
        elif request.path == "/v1/load":
            await self._load(responder)
        elif request.path == "/v1/allocations":
            await self._allocations(request, responder)
        else:
            await self.answer(
                responder, {"started": False, "detail": "no such call"}, 400
            )

    async def _start_stream(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        content = orjson.loads(request.body)
        name = content["stream_id"]
        if self._leaving:
            await self.answer(
                responder, {"started": False, "leaving": True}, 503
            )
            return
        submitted = self._model.submit(
            engine_model.StreamSpec(
                ids.StreamId(name),
                units.Tokens(content["prompt_tokens"]),
                units.Tokens(content["max_tokens"]),
                content["priority"],
                tuple(content["block_hashes"]),
            )
        )
        if isinstance(submitted, result.Err):
            await self.answer(
                responder,
                {"started": False, "detail": "the prompt does not fit"},
                409,
            )
            return
        self._history.record("start", stream=name, request=content["prompt"])
        if CRASH_MARKER in content["prompt"]:
            os._exit(_CRASH_STATUS)
        self._streams[name] = _LiveStream(
            content["attempt_id"],
            content["owner"],
            content["prompt"],
            content["first_offset"],
            content["max_tokens"],
        )
        self._work.set()
        await self._send(name, content["first_offset"], responder)

    async def _resume(
        self,
        name: str,
        request: server.ServerRequest,
        responder: server.Responder,
    ) -> None:
        if name not in self._streams:
            await self.answer(responder, {"detail": "unknown stream"}, 404)
            return
        await self._send(name, int(request.parameter("from") or 0), responder)

    async def _send(
        self, name: str, offset: int, responder: server.Responder
    ) -> None:
        stream = self._streams[name]
        responder.start(200, (("content-type", "text/event-stream"),))
        accepted = {
            "attempt_id": stream.attempt_id,
            "incarnation": self._incarnation,
        }
        connected = await responder.write(_event("accepted", accepted))
        while connected:
            end = stream.first_offset + stream.produced
            changed = stream.changed
            pieces = [
                _event(
                    "token",
                    {
                        "offset": index,
                        "text": engine_model.token_text(stream.prompt, index),
                    },
                )
                for index in range(offset, end)
            ]
            offset = max(offset, end)
            connected = await responder.write(b"".join(pieces))
            if stream.finished:
                break
            await changed.wait()
        if not connected:
            return
        await responder.write(
            _event("end", {"token_count": offset, "reason": "length"})
        )
        await responder.finish()
        self._streams.pop(name, None)

    async def _cancel(self, name: str, responder: server.Responder) -> None:
        self._model.cancel(ids.StreamId(name))
        stream = self._streams.pop(name, None)
        if stream is not None:
            stream.finished = True
            stream.changed.set()
        await self.answer(responder, {"incarnation": self._incarnation})

    async def _load(self, responder: server.Responder) -> None:
        model = self._model
        await self.answer(
            responder,
            {
                "timestamp": asyncio.get_running_loop().time(),
                "incarnation": self._incarnation,
                "running": model.running,
                "waiting": model.waiting,
                "prefill_tokens_queued": model.prefill_tokens_queued,
                "kv_bytes_used": model.used_tokens,
                "kv_bytes_total": self._settings.kv_tokens,
                "role": "general",
                "models": self._models,
                "leaving": self._leaving,
            },
        )

    async def _allocations(
        self, request: server.ServerRequest, responder: server.Responder
    ) -> None:
        owner = request.parameter("owner")
        await self.answer(
            responder,
            {
                "allocations": [
                    {
                        "kind": "stream",
                        "id": name,
                        "owner": stream.owner,
                        "bytes": stream.max_tokens,
                    }
                    for name, stream in self._streams.items()
                    if owner is None or owner == stream.owner
                ]
            },
        )


def _event(kind: str, content: dict[str, object]) -> bytes:
    return b"event: %s\ndata: %s\n\n" % (kind.encode(), orjson.dumps(content))
