"""Tests whole requests and answers that are odd in any place.

Messages are made from sound ones by changed, cut, repeated, inserted and
endless parts, and meet the real codecs, splitters and forwarding code on a
virtual clock.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import unittest

import hypothesis
from hypothesis import strategies
import platform_case
import test_silence
import virtual_case

from lavendershed.core import units
from lavendershed.telemetry import events
from lavendershed.transport import server as server_module
from lavendershed.transport import server_connection

BODY = b"answer"
FRAMINGS = ("length", "chunks", "neither")
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 21))
# What a sound request may hold beyond the free part of its messages.
MAX_BUFFERED = 32_000_000
# Bytes of a caller that wait for the end of its request: the limit and a read.
MAX_UNREAD = 200_000
# Bytes that are read before a flood has to be closed.
MAX_FLOODED = 24_000_000
_NUMBERS = re.compile(rb"[0-9]+")
_VALUE_STARTS = re.compile(rb"[:=,] ?|\r\n|\n")
# Share of the changes that begin at a value or in it.
_VALUE_SHARE = 0.7
ODD_NUMBERS = (
    b"9" * 5_000,
    b"9" * 5_000,
    b"\xb2",
    b"\xb2",
    b"1" * 19,
    b"-1",
    b"1e300",
    b"",
)
ODD_BYTES = (
    *(b"\x00", b"\xb2", b"\xe9", b"\xff\xfe", b"\r", b"\n", b"\r\n", b"\n\n"),
    *(
        b":",
        b": x\n\n",
        b"id: ",
        b"id: 3\n",
        b"\r\n\r\n",
        b" ",
        b"\t",
        b",",
        b"-",
    ),
    *(b"9" * 5_000, b"1" * 19, b"x" * 20_000, b"\r\nx: " + b"y" * 100),
    *(b"0\r\n\r\n", b"1\r\nx\r\n", b"ffffffffffffffff\r\n", b"\xd9\xa3"),
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
    b"\r\nkeep-alive: timeout=\xb2",
    b"\r\nserver-limit: " + b"9" * 400,
    b"\r\nretry-after: " + b"9" * 400,
    b"\r\nserver-leaving: 1",
    b"\r\nat-server: x:" + b"1" * 6_000,
    b"\r\nconnection: \xff",
    b"\r\ntransfer-encoding: chunked",
    b"\r\ncontent-length: 99999999999999999999",
)


def frame(body, framing):
    """Returns a success with a body; `%s` stands for the id of the request."""
    head = (
        b"HTTP/1.1 200 OK\r\nattempt-id: %s\r\nengine-seal: s-1234\r\n"
        b"keep-alive: timeout=5\r\ncontent-type: text/plain\r\nx-note: note\r\n"
    )
    match framing:
        case "length":
            return head + b"content-length: %d\r\n\r\n" % len(body) + body
        case "chunks":
            return (
                head
                + b"transfer-encoding: chunked\r\n\r\n%x\r\n" % len(body)
                + body
                + b"\r\n0\r\n\r\n"
            )
        case _:
            return head + b"\r\n" + body


def answers():
    """Returns sound answers."""
    # Events more often than others, since they go furthest.
    for body in (BODY, EVENTS, EVENTS):
        for framing in FRAMINGS:
            yield frame(body, framing)
    for status, header in (
        (503, b"not-executed: 1"),
        (421, b"instance-id: i"),
        (500, b"engine-seal: s"),
        (503, b"not-executed: 1\r\nat-server: 10.0.0.1:8080"),
        (503, b"not-executed: 1\r\nretry-after: 1.5"),
        (500, b"engine-seal: s\r\nserver-leaving: 1"),
        (204, b"engine-seal: s"),
        (304, b"engine-seal: s"),
    ):
        yield (
            b"HTTP/1.1 %d x\r\nattempt-id: %%s\r\n%s\r\n"
            b"content-length: 0\r\n\r\n" % (status, header)
        )
    yield b'HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{"free":1.5} '
    yield b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"pace":1e300}'


def requests():
    """Returns sound requests of callers."""
    head = (
        b"POST %%s HTTP/1.1\r\nhost: %s\r\nx-api-key: %s\r\nattempt-id: a-1\r\n"
        b"deadline-ms: 2000\r\nuser-agent: test\r\nlength-hint: 20\r\n"
        % (platform_case.HOST.encode(), platform_case.KEY.encode())
    )
    size = (
        b"token-count: 1000,100\r\nprefix-hash: ab:900,cd:100\r\nmodel: m\r\n"
    )
    for path in (b"/desk/x", b"/draft/x?a=b", b"/lookup/%%20x", b"/order/x"):
        for extra in (
            b"",
            b"last-event-id: 3\r\n",
            b"expect: 100-continue\r\n",
        ):
            start = head.replace(b"%s", path) + size + extra
            yield start + b"content-length: 6\r\n\r\nprompt"
            yield (
                start + b"transfer-encoding: chunked\r\n\r\n"
                b"3\r\npro\r\n3\r\nmpt\r\n0\r\n\r\n"
            )
    yield b"HEAD /none HTTP/1.1\r\nhost: x\r\n\r\n"
    yield b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n"
    yield b"GET / HTTP/1.1\r\nhost: x\r\nupgrade: y\r\n\r\n"
    yield b"GET /lookup/x HTTP/1.0\r\n\r\n"


def change(message, generator):
    """Returns a message with one change."""
    # Most changes are in values, since others are refused early.
    starts = [m.end() for m in _VALUE_STARTS.finditer(message)]
    at = generator.randrange(len(message) + 1)
    if starts and generator.random() < _VALUE_SHARE:
        at = generator.choice(starts) + generator.choice((0, 0, 1, 2))
    until = at + generator.randrange(1, 40)
    match generator.choice(
        ("byte", "byte", "insert", "number", "cut", "repeat")
    ):
        case "byte":
            # Bytes above 0x7F are valid in values.
            lowest = generator.choice((0, 128))
            byte = bytes((generator.randrange(lowest, 256),))
            return message[:at] + byte + message[at + 1 :]
        case "insert":
            return message[:at] + generator.choice(ODD_BYTES) + message[at:]
        case "number":
            numbers = list(_NUMBERS.finditer(message))
            if not numbers:
                return message
            in_head = numbers[: message.count(b"\r\n") + 1]
            start, end = generator.choice(
                generator.choice((numbers, in_head))
            ).span()
            return (
                message[:start] + generator.choice(ODD_NUMBERS) + message[end:]
            )
        case "cut":
            return message[:at] + message[until:]
        case _:
            times = generator.choice((2, 30, 3_000))
            return message[:at] + message[at:until] * times + message[until:]


def changed_answer(seed):
    """Returns an answer whose body was changed before it was framed."""
    generator = random.Random(seed)
    body = change(generator.choice((BODY, EVENTS, EVENTS)), generator)
    message = frame(body, generator.choice(FRAMINGS))
    return change(message, generator) if seed % 4 == 0 else message


def changed(sound):
    """Returns a strategy for messages with some changes.

    The changes come from a seed, which spreads them more evenly than choices
    of the strategy would.
    """

    def build(seed):
        generator = random.Random(seed)
        message = generator.choice(sound)
        for _ in range(generator.choice((0, 1, 1, 1, 1, 1, 1, 2, 2, 4))):
            message = change(message, generator)
        return message

    return strategies.integers(0, 2**32).map(build)


ends = strategies.sampled_from(("close", "reset", "silence", "flood"))
floods = strategies.sampled_from(
    (
        b"\n",
        b"x",
        b"1\r\nx\r\n",
        b"a: b\r\n",
        b"id: 7\n\n",
        b": c\n",
        b": c\n\n",
        b"9",
        b"\x00",
    )
)
pieces = strategies.sampled_from((1, 7, 100, 65_536))


class OddServer(virtual_case.MemoryServer):
    """Answers each request with the same bytes.

    Attributes:
        answer: The bytes; `%s` stands for the id of the request.
        end: What it does after them.
        flood: What it repeats if it does not end.
        piece: Bytes in each write.
    """

    def __init__(self, name, service, number, drawn):
        super().__init__(name, service, number)
        self.answer, self.end, self.flood, self.piece = drawn
        self.flooded = 0

    async def serve(self, reader, writer):
        _, _, fields, _ = await self.read_request(reader)
        answer = self.answer.replace(
            b"%s", fields.get("attempt-id", "none").encode("latin-1")
        )
        step = max(self.piece, len(answer) // 200)
        for start in range(0, len(answer), step):
            writer.write(answer[start : start + step])
            await writer.drain()
        if self.end == "silence":
            await reader.read()
        elif self.end == "reset":
            writer.reset()
        elif self.end == "flood":
            chunk = self.flood * (65_536 // len(self.flood))
            while not writer.is_closing():
                writer.write(chunk)
                self.flooded += len(chunk)
                await writer.drain()
                # Floods take time, like on a link of some GB a second.
                await asyncio.sleep(0.000_02)


class GeneratedAnswerTest(unittest.TestCase):
    """Guards against an answer that ends anything but its own attempt."""

    @hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.tuples(
            changed(tuple(answers()))
            | strategies.integers(0, 2**32).map(changed_answer),
            ends,
            floods,
            pieces,
        ),
        strategies.sampled_from(test_silence.PATHS),
        strategies.integers(4, 8),
    )
    def test_no_answer_harms_other_requests(self, drawn, path, count):
        errors = []

        async def play():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, c: errors.append(c))
            odd_is_engine = path in test_silence.STREAMS
            service, other = (
                platform_case.MODEL_SERVICE,
                platform_case.PLAIN_SERVICE,
            )
            if not odd_is_engine:
                service, other = other, service
            odd = OddServer("odd", service, 50, drawn)
            servers = [
                odd,
                test_silence.PausingServer("sound", service, 1),
                test_silence.PausingServer("other", other, 2),
            ]
            daemon = virtual_case.VirtualDaemon(
                servers,
                *(
                    test_silence.DRAFT,
                    test_silence.DESK,
                    test_silence.LOOKUP,
                    test_silence.ORDER,
                ),
            )
            other_path = "/lookup/x" if odd_is_engine else "/desk/x"
            sending = [
                asyncio.create_task(test_silence.send(daemon, path, n))
                for n in range(count)
            ]
            others = await asyncio.gather(
                *(
                    test_silence.send(daemon, other_path, 100 + n, n * 0.2)
                    for n in range(5)
                )
            )
            for caller in others:
                self.assertTrue(test_silence.is_whole(other_path, caller))
            for caller in await asyncio.gather(*sending):
                self.assertTrue(caller.complete or caller.aborted)
            context = daemon.context
            self.assertEqual(context.response_buffers.used, 0)
            self.assertLess(odd.flooded, MAX_FLOODED * (count + 2))
            self.assertFalse(daemon.events(events.Event.UNEXPECTED_ERROR))

        virtual_case.run(play())
        self.assertEqual(errors, [])

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.sampled_from(tuple(answers())),
        strategies.floats(0, 1),
        strategies.sampled_from(("close", "reset")),
        strategies.sampled_from(test_silence.PATHS),
    )
    def test_an_answer_that_is_cut_is_no_success(self, sound, where, end, path):
        """Guards against a part of an answer that looks like a whole one."""

        async def play():
            cut = sound[: int(where * (len(sound) - 1))]
            servers = [
                OddServer("odd", service, number, (cut, end, b"x", 100))
                for number, service in enumerate(
                    (platform_case.MODEL_SERVICE, platform_case.PLAIN_SERVICE)
                )
            ]
            daemon = virtual_case.VirtualDaemon(
                servers,
                *(
                    test_silence.DRAFT,
                    test_silence.DESK,
                    test_silence.LOOKUP,
                    test_silence.ORDER,
                ),
            )
            caller = await test_silence.send(daemon, path, 1)
            delimited = b"\r\n\r\n" in cut and (
                b"content-length" in cut or b"transfer-encoding" in cut
            )
            if caller.status == 200 and caller.complete:
                # Without a length, the end of the connection ends the answer.
                self.assertFalse(delimited)
                self.assertEqual(end, "close")
            self.assertNotIn(caller.status, (204, 304))

        virtual_case.run(play())


class _Transport:
    """Transport of a caller's connection, which keeps what is written."""

    def __init__(self):
        self.written = b""
        self.closed = False
        self.paused = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def write_eof(self):
        """Ends what is written; bytes of the caller still come."""

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


class GeneratedRequestTest(unittest.TestCase):
    """Guards against a request that ends anything but its own connection."""

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        changed(tuple(requests())),
        pieces,
        strategies.booleans(),
    )
    def test_no_request_harms_another(self, message, piece, is_endless):
        errors = []

        async def play():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, c: errors.append(c))
            daemon, _ = test_silence.new_world()
            http_server = server_module.HttpServer(
                daemon.gateway,
                daemon.timers,
                server_module.ServerLimits(
                    max_body=units.Bytes(4_194_304),
                    request_timeout=units.Seconds(3.0),
                    idle_timeout=units.Seconds(15.0),
                ),
                daemon.context.request_buffers,
            )
            connection = server_connection.ServerConnection(http_server)
            transport = _Transport()
            connection.connection_made(transport)
            step = max(piece, len(message) // 200)
            tail = itertools.repeat(message[-1:] * 65_536, 200)
            parts = (
                message[at : at + step] for at in range(0, len(message), step)
            )
            sent = 0
            for part in itertools.chain(parts, tail if is_endless else ()):
                while transport.paused and not transport.closed:
                    await asyncio.sleep(0.01)
                    if loop.time() > 1_020:
                        break
                if transport.closed or transport.paused:
                    break
                connection.data_received(part)
                sent += len(part)
                await asyncio.sleep(0)
            self.assertLess(len(connection._body), MAX_BUFFERED)
            unread, _ = connection._protocol.trailing_data
            self.assertLess(len(unread), MAX_UNREAD)
            other = await test_silence.send(daemon, "/lookup/x", 2)
            self.assertTrue(test_silence.is_whole("/lookup/x", other))
            await asyncio.sleep(20.0)
            connection.connection_lost(None)
            await asyncio.sleep(3.0)
            self.assertEqual(daemon.context.request_buffers.used, 0)
            self.assertFalse(daemon.events(events.Event.UNEXPECTED_ERROR))
            if transport.written:
                self.assertTrue(transport.written.startswith(b"HTTP/1.1 "))

        virtual_case.run(play())
        self.assertEqual(errors, [])


if __name__ == "__main__":
    unittest.main()
