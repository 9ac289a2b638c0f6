"""Tests the encoding of requests that one daemon passes to another."""

from __future__ import annotations

import contextlib
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.peer import relay_messages
from lavendershed.peer import wire
from lavendershed.routes import model
from lavendershed.routing import latency_model

REQUEST = relay_messages.RelayedRequest(
    ids.RequestId("r-1"),
    "POST",
    "/a/b?c=d",
    "users.example",
    (("x-one", "1"), ("x-one", "2"), ("x-empty", "")),
    b"\x00body",
    latency_model.RequestSize(units.Tokens(300_000), units.Tokens(100)),
    7,
    frozenset({ids.PromptPartId(ids.CrashSuspectId((1 << 63) - 1))}),
    model.Route(
        "route-1",
        "users.example",
        "",
        model.RequestKind.STREAMING,
        True,
        False,
        units.Seconds(30.0),
        units.Seconds(0.6),
        units.Seconds(0.25),
        3,
        (),
        2,
    ),
    ids.ServiceId("model"),
    ids.OrganisationId("almanac"),
    3,
    ids.Fingerprint((1 << 64) - 3),
    units.Seconds(0.012),
    units.Seconds(9.5),
    begun=True,
)
LEAST = dataclasses.replace(
    REQUEST,
    headers=(),
    body=b"",
    size=None,
    last_event_id=None,
    prompt_parts=frozenset(),
    route=dataclasses.replace(
        REQUEST.route,
        kind=model.RequestKind.UNSAFE,
        resumable=False,
        target_inter_token_latency=None,
    ),
    organisation=None,
    fingerprint=ids.Fingerprint(0),
    begun=False,
)


class RelayMessageTest(unittest.TestCase):
    """Guards against requests that change on the way to a peer."""

    def test_requests_are_decoded_as_they_were_encoded(self):
        for request in (REQUEST, LEAST):
            with self.subTest(kind=request.route.kind):
                encoded = relay_messages.encode(request)
                self.assertEqual(relay_messages.decode(encoded), request)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_other_bytes_raise_decode_errors_only(self, data):
        with contextlib.suppress(wire.DECODE_ERRORS):
            relay_messages.decode(data)

    def test_truncated_requests_are_rejected(self):
        encoded = relay_messages.encode(REQUEST)
        for length in range(len(encoded)):
            with (
                self.subTest(length=length),
                self.assertRaises(wire.DECODE_ERRORS),
            ):
                relay_messages.decode(encoded[:length])


if __name__ == "__main__":
    unittest.main()
