"""Tests streams that break off, whose next engine answers with an error.

Guards against the text of an error in the middle of a caller's stream, and
against a stream that looks complete though its end is missing.
"""

from __future__ import annotations

import asyncio
import itertools
import unittest

import platform_case
import raw_server

EVENTS = tuple(
    f"id: {number}\ndata: piece {number}\n\n".encode() for number in (1, 2, 3)
)
SOUND_HEAD = (
    b"HTTP/1.1 200 OK\r\nattempt-id: %(id)s\r\nengine-seal: seal\r\n"
    b"content-type: text/event-stream\r\n"
)
CHUNKED = SOUND_HEAD + b"transfer-encoding: chunked\r\n\r\n"
ERROR_HEAD = b"attempt-id: %(id)s\r\nengine-seal: seal\r\n"
LARGE_HEADERS = b"".join(b"x-%d: %s\r\n" % (n, b"z" * 90) for n in range(80))
ERROR_BODY = b"the engine failed"
WITH_BODY = b"content-length: %d\r\n\r\n%s" % (len(ERROR_BODY), ERROR_BODY)

# What an engine may answer to the request that goes on after the second event.
ANSWERS = {
    "status 500": b"HTTP/1.1 500 Error\r\n" + ERROR_HEAD + WITH_BODY,
    "status 500 with a large head": b"HTTP/1.1 500 Error\r\n"
    + ERROR_HEAD
    + LARGE_HEADERS
    + WITH_BODY,
    "status 503 that has not run": b"HTTP/1.1 503 Full\r\nnot-executed: 1\r\n"
    + ERROR_HEAD
    + LARGE_HEADERS
    + WITH_BODY,
    "status 503 that may have run": b"HTTP/1.1 503 Full\r\n"
    + ERROR_HEAD
    + WITH_BODY,
    "status 504 without a length": b"HTTP/1.1 504 Late\r\n"
    + ERROR_HEAD
    + b"\r\n"
    + ERROR_BODY,
    "status 421": b"HTTP/1.1 421 Wrong\r\n" + ERROR_HEAD + WITH_BODY,
    "bytes that are no answer": b"the engine failed\r\n\r\n" * 50,
    "an answer to another request": CHUNKED.replace(b"%(id)s", b"other")
    + b"1c\r\n"
    + EVENTS[2]
    + b"\r\n0\r\n\r\n",
    "no answer": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nattempt-id",
    "an error text instead of events": CHUNKED
    + b"11\r\n"
    + ERROR_BODY
    + b"\r\n0\r\n\r\n",
    "an error text after the head": CHUNKED + ERROR_BODY,
    "an end without a length": SOUND_HEAD + b"\r\n",
    "an end inside an event": CHUNKED
    + b"5\r\n"
    + EVENTS[2][:5]
    + b"\r\n0\r\n\r\n",
    "the events from the beginning": CHUNKED
    + b"1c\r\n"
    + EVENTS[0]
    + b"\r\n0\r\n\r\n",
}


def chunk(data):
    """Returns one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class ScriptedEngine(raw_server.RawServer):
    """Breaks off after two events; answers what follows with some bytes."""

    def __init__(self, name, deployment):
        super().__init__(name)
        self._deployment = deployment

    async def serve(self, reader, writer):
        fields = await self.read_request(reader)
        identity = {b"id": fields[b"attempt-id"]}
        if b"last-event-id" not in fields:
            writer.write(CHUNKED % identity + chunk(EVENTS[0]))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(chunk(EVENTS[1]))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()
            return
        answer, self._deployment.answer = (
            self._deployment.answer,
            self._deployment.later_answer,
        )
        writer.write(answer.replace(b"%(id)s", fields[b"attempt-id"]))


class ErrorInStreamTest(platform_case.PlatformCase):
    """All engines follow one script."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.answer = self.later_answer = b""
        # A request that is repeated counts as one that crashes its engines.
        self.bodies = itertools.count()
        for engine in self.engines:
            self.store.delete("servers", engine.id)
            engine.close()
        self.engines = [ScriptedEngine(f"s-{n}", self) for n in range(4)]
        for engine in self.engines:
            await engine.start()
            self.register_server(engine)
        directory = self.daemon.parts.components.context.view.directory
        names = {engine.id for engine in self.engines}
        await self.wait_until(
            lambda: (
                {e.id for e in directory.servers_accepting_work("model")}
                == names
            )
        )

    async def set_attempts(self, attempts):
        routes = platform_case.configuration(attempts)
        routes["route_table"][0]["max_attempts"] = attempts
        self.store.put("config", "main", routes)
        view = self.daemon.parts.components.context.view
        await self.wait_until(lambda: view.version == attempts)

    async def received_body(self):
        """Returns the chunks that a caller gets, as they are encoded."""
        reader, writer = await asyncio.open_connection(
            self.daemon_address.host, self.daemon_address.port
        )
        writer.write(
            b"POST /stream/x HTTP/1.1\r\nhost: users.example\r\n"
            b"attempt-id: a1\r\ndeadline-ms: 3000\r\ntoken-count: 1000,100\r\n"
            b"model: m\r\nx-api-key: %s\r\nconnection: close\r\n"
            b"content-length: 6\r\n\r\n%06d"
            % (platform_case.KEY.encode(), next(self.bodies))
        )
        received = b""
        try:
            while data := await reader.read(65_536):
                received += data
        except ConnectionError:
            pass
        finally:
            writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b" 200 ", head.split(b"\r\n")[0])
        return body

    async def test_no_error_reaches_a_stream_that_had_begun(self):
        """No further engine: the stream ends visibly incomplete."""
        await self.set_attempts(2)
        expected = chunk(EVENTS[0]) + chunk(EVENTS[1])
        for name, answer in ANSWERS.items():
            with self.subTest(answer=name):
                self.answer = self.later_answer = answer
                self.assertEqual(await self.received_body(), expected)

    async def test_a_third_engine_goes_on_after_the_error_of_the_second(self):
        await self.set_attempts(4)
        rest = chunk(EVENTS[2]) + b"0\r\n\r\n"
        for name, answer in ANSWERS.items():
            with self.subTest(answer=name):
                self.answer = answer
                self.later_answer = CHUNKED + rest
                body = await self.received_body()
                self.assertEqual(
                    body, chunk(EVENTS[0]) + chunk(EVENTS[1]) + rest
                )

    async def test_a_whole_rest_is_complete(self):
        """An empty answer with an end means that nothing is missing."""
        await self.set_attempts(2)
        self.answer = CHUNKED + b"0\r\n\r\n"
        self.assertEqual(
            await self.received_body(),
            chunk(EVENTS[0]) + chunk(EVENTS[1]) + b"0\r\n\r\n",
        )


if __name__ == "__main__":
    unittest.main()
