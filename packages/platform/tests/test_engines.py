"""Tests the classification of response heads and request encoding."""

from __future__ import annotations

import unittest

from lavendershed.core import addresses
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.forwarding import requests
from lavendershed.platform import engines
from lavendershed.transport import client

KIND = requests.ResponseKind
CALLER = requests.CallerRequest(
    ids.RequestId("r1"),
    "POST",
    "/a?b",
    "/a",
    "h",
    (("attempt-id", "r1"),),
    b"",
    None,
    None,
    None,
    None,
)
OWN_ID = {"attempt-id": "r1"}
VALID_HEADERS = {**OWN_ID, "engine-seal": "s"}


class DecodeTest(unittest.TestCase):
    """Fails if an invalid response passes as valid or as not executed."""

    def decode(self, status, headers):
        head = client.ResponseHead(status, tuple(headers.items()))
        return engines.PlatformBackendCodec().decode(head, CALLER)

    def test_responses_are_classified(self):
        for status, headers, kind in (
            (200, VALID_HEADERS, KIND.SUCCESS),
            (200, {"attempt-id": "r1"}, KIND.INVALID),
            (200, {"engine-seal": "s"}, KIND.INVALID),
            (200, {**VALID_HEADERS, "content-encoding": "gzip"}, KIND.INVALID),
            (200, {**VALID_HEADERS, "attempt-id": "r2"}, KIND.OTHER_REQUEST),
            (503, {**OWN_ID, "not-executed": "1"}, KIND.NOT_RUN),
            (429, {**OWN_ID, "not-executed": "1"}, KIND.NOT_RUN),
            (503, {}, KIND.INVALID),
            (429, VALID_HEADERS, KIND.INVALID),
            (408, VALID_HEADERS, KIND.INVALID),
            (421, OWN_ID, KIND.WRONG_SERVER),
            (500, VALID_HEADERS, KIND.FAILURE),
            (504, VALID_HEADERS, KIND.FAILURE),
            (404, VALID_HEADERS, KIND.FAILURE),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertIs(self.decode(status, headers).kind, kind)

    def test_a_refusal_of_another_request_is_not_believed(self):
        """Guards against a caller that is told "not run" while it runs.

        A faulty server writes an earlier refusal once more on a connection that
        is in use again, or one that names no request.
        """
        for status, headers in (
            (421, {}),
            (503, {"not-executed": "1"}),
            (429, {"not-executed": "1"}),
            (400, {"not-executed": "1"}),
        ):
            with self.subTest(status=status):
                other = {**headers, "attempt-id": "r2"}
                self.assertIs(
                    self.decode(status, other).kind, KIND.OTHER_REQUEST
                )
                self.assertIs(self.decode(status, headers).kind, KIND.INVALID)

    def test_request_limits(self):
        """Guards against a limit of an engine that is not read, or misread."""
        codec = engines.PlatformBackendCodec()
        for value, limit in (
            ("3", 3.0),
            ("0.25", 0.25),
            (" 2. ", 2.0),
            ("0", 0.0),
            ("9" * 30, 1e30),
        ):
            head = client.ResponseHead(200, (("server-limit", value),))
            with self.subTest(value=value):
                decoded = codec.decode_request_limit(head).unwrap()
                self.assertAlmostEqual(decoded / limit if limit else 1.0, 1.0)
        for value in ("-1", "nan", "inf", "1e3", "", "many", "1,5", "9" * 5000):
            head = client.ResponseHead(200, (("server-limit", value),))
            with self.subTest(value=value):
                self.assertTrue(codec.decode_request_limit(head).is_err())
        head = client.ResponseHead(200, ())
        self.assertIsNone(codec.decode_request_limit(head).unwrap())

    def test_only_its_own_answers_say_that_a_server_is_leaving(self):
        """Guards against a server that is given up for another one's answer."""
        not_run = {**OWN_ID, "not-executed": "1"}
        for status, headers, value, leaving in (
            (200, VALID_HEADERS, "1", True),
            (200, VALID_HEADERS, " 1 ", True),
            (500, VALID_HEADERS, "1", True),
            (500, {}, "1", True),
            (503, not_run, "1", True),
            (200, VALID_HEADERS, "0", False),
            (200, VALID_HEADERS, "", False),
            (200, VALID_HEADERS, "11", False),
            (200, OWN_ID, "1", False),
            (200, {**VALID_HEADERS, "attempt-id": "r2"}, "1", False),
            (503, {"not-executed": "1"}, "1", False),
            (421, OWN_ID, "1", False),
        ):
            with self.subTest(status=status, headers=headers, value=value):
                response = self.decode(
                    status, {**headers, "server-leaving": value}
                )
                self.assertIs(response.notices.leaving, leaving)
                self.assertNotIn("server-leaving", dict(response.headers))
                self.assertIsNone(response.reuse_period)

    def test_pauses(self):
        """Guards against a pause that is missed, or kept for another server."""
        not_run = {**OWN_ID, "not-executed": "1"}
        for status, headers, value, pause in (
            (503, not_run, "2", 2.0),
            (503, not_run, " 0.25 ", 0.25),
            # The answer is garbled, but the relief costs little.
            (503, OWN_ID, "2", 2.0),
            (503, {}, "2", 2.0),
            (503, {**not_run, "attempt-id": "r2"}, "2", None),
            (421, OWN_ID, "2", None),
            (429, not_run, "2", None),
            (200, VALID_HEADERS, "2", None),
        ):
            with self.subTest(status=status, headers=headers, value=value):
                response = self.decode(
                    status, {**headers, "retry-after": value}
                )
                self.assertEqual(response.notices.pause.unwrap(), pause)
        for value in (
            *("-1", "nan", "inf", "1e3", "", "soon", "1,5", "9" * 5000),
            "Sun, 06 Dec 2026 21:00:00 GMT",
        ):
            with self.subTest(value=value):
                response = self.decode(503, {**not_run, "retry-after": value})
                self.assertTrue(response.notices.pause.is_err())

    def test_notices_in_answers_to_calls(self):
        """Guards against a late copy of another answer that is believed."""
        codec = engines.PlatformBackendCodec()
        notices = (("server-leaving", "1"), ("retry-after", "2"))
        for status, extra, expected in (
            (200, (), (True, None)),
            (409, (), (True, None)),
            (503, (), (True, 2.0)),
            (421, (), (False, None)),
            (503, tuple(OWN_ID.items()), (False, None)),
        ):
            with self.subTest(status=status, extra=extra):
                decoded = codec.decode_call_notices(
                    client.ResponseHead(status, (*notices, *extra))
                )
                self.assertEqual(
                    (decoded.leaving, decoded.pause.unwrap()), expected
                )

    def test_idle_timeouts(self):
        for headers, limit in (
            ({"keep-alive": "timeout=5, max=9"}, 5.0),
            ({"keep-alive": "timeout=5", "connection": "close"}, None),
            ({"connection": "Close"}, None),
            ({}, 0.5),
        ):
            with self.subTest(headers=headers):
                response = self.decode(200, {**VALID_HEADERS, **headers})
                self.assertEqual(response.keep_alive_timeout, limit)

    def test_faulty_server_is_decoded(self):
        response = self.decode(
            503, {**OWN_ID, "not-executed": "1", "at-server": "10.0.0.3:80"}
        )
        self.assertEqual(
            response.faulty_server, addresses.Address("10.0.0.3", 80)
        )
        self.assertIsNone(self.decode(503, {"at-server": "x"}).faulty_server)

    def test_hop_by_hop_headers_are_removed(self):
        response = self.decode(
            200,
            {**VALID_HEADERS, "keep-alive": "timeout=5", "content-length": "3"},
        )
        self.assertEqual(dict(response.headers), VALID_HEADERS)


class EncodeTest(unittest.TestCase):
    """Fails if a request to an engine lacks a header or has a wrong value."""

    def encode(self, **changes):
        request = requests.BackendRequest(
            CALLER,
            ids.BackendServerId("i-1"),
            ids.OrganisationId("o"),
            units.Seconds(1.2345),
            **changes,
        )
        return engines.PlatformBackendCodec().encode(request)

    def test_expected_server_and_timeout_are_sent(self):
        head = self.encode()
        headers = dict(head.headers)
        self.assertEqual(head.target, "/a?b")
        self.assertEqual(headers["expect-instance"], "i-1")
        self.assertEqual(headers["deadline-ms"], "1234")
        self.assertEqual(headers["tenant"], "o")

    def test_helpers_are_sent_with_their_reservations(self):
        helpers = (
            (addresses.Address("10.0.0.1", 80), "t1"),
            (addresses.Address("10.0.0.2", 80), None),
        )
        headers = dict(self.encode(prefill_helpers=helpers).headers)
        self.assertEqual(headers["helpers"], "10.0.0.1:80/t1,10.0.0.2:80")


if __name__ == "__main__":
    unittest.main()
