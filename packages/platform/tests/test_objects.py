"""Tests the decoding of configurations and server entries."""

from __future__ import annotations

import copy
import unittest

import hypothesis
from hypothesis import strategies
import orjson

from lavendershed.core import store_revisions
from lavendershed.peer import peer_state
from lavendershed.platform import objects
from lavendershed.routes import model

ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "a",
    "state": "ready",
    "born": 17,
    "seq": 4,
}
CONFIGURATION = {
    "version": 7,
    "route_table": [
        {
            "name": "r",
            "host": "Users.Example",
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "target_latency_ms": 300,
            "priority": 1,
            "weighted_services": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
            "gap_target_ms": 250,
        }
    ],
    "services": [
        {
            "name": "s",
            "max_connections": 434,
            "engine": {
                "slots": 8,
                "kv_capacity": 315_000,
                "stride": 51,
                "step_ms": 0.85,
                "read_per_s": 177_000.0,
                "usual": {"prompt": 11_121, "answer": 1_622},
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [{"name": "o", "api_keys": ["k"], "priority": 1}],
}


def stored(body, name="main"):
    """Returns an object with an encoded body."""
    return peer_state.StoredObject(
        name, store_revisions.of(1, 3), orjson.dumps(body)
    )


class ConfigurationTest(unittest.TestCase):
    """Fails if a field is decoded wrongly or an error does not name it."""

    def setUp(self):
        self.decoder = objects.PlatformObjectDecoder()
        self.body = copy.deepcopy(CONFIGURATION)

    def decode_error(self):
        return self.decoder.decode_configuration(stored(self.body)).unwrap_err()

    def test_fields_are_converted_to_their_units(self):
        decoded = self.decoder.decode_configuration(stored(self.body)).unwrap()
        route = decoded.routes[0]
        self.assertEqual(route.host, "users.example")
        self.assertEqual(route.timeout, 10.0)
        self.assertEqual(route.target_inter_token_latency, 0.25)
        self.assertIs(route.kind, model.RequestKind.STREAMING)
        self.assertEqual([s.weight for s in route.services], [90, 10])
        engine = decoded.services[0].engine
        self.assertEqual(engine.prefill_tokens_per_ms, 177.0)
        self.assertEqual(engine.mean_output_tokens, 1_622)
        self.assertEqual(decoded.organisations[0].keys, ("k",))

    def test_cold_rates_are_optional(self):
        self.body["services"].append(
            {"name": "cold", "cold_start_s": 3.0, "cold_per_s": 17.0}
        )
        decoded = self.decoder.decode_configuration(stored(self.body)).unwrap()
        self.assertEqual(
            [(s.cold_start, s.cold_rate) for s in decoded.services],
            [(0.0, 0.0), (3.0, 17.0)],
        )

    def test_unknown_fields_are_ignored(self):
        self.body["new"] = self.body["route_table"][0]["new"] = 1
        self.assertTrue(
            self.decoder.decode_configuration(stored(self.body)).is_ok()
        )

    def test_engines_retain_prompts_only_if_it_is_stated(self):
        for stated, expected in ({}, False), ({"retains_prompts": True}, True):
            self.body["services"][0]["engine"].update(stated)
            decoded = self.decoder.decode_configuration(stored(self.body))
            engine = decoded.unwrap().services[0].engine
            self.assertIs(engine.retains_prompts, expected)

    def test_missing_organisations_disable_api_keys(self):
        del self.body["tenants"]
        decoded = self.decoder.decode_configuration(stored(self.body)).unwrap()
        self.assertIsNone(decoded.organisations)

    def test_errors_name_the_field(self):
        for table, field, value in (
            (self.body, "version", "x"),
            (self.body["route_table"][0], "kind", "odd"),
            (self.body["route_table"][0], "timeout_ms", None),
            (self.body["services"][0]["engine"], "slots", True),
            (self.body["services"][0]["engine"], "retains_prompts", 1),
            (self.body["limits"], "max_body_bytes", -1),
            (self.body["tenants"][0], "api_keys", [1]),
        ):
            with self.subTest(field=field):
                original = table.get(field)
                table[field] = value
                self.assertIn(field, self.decode_error())
                if original is None:
                    del table[field]
                else:
                    table[field] = original


class ServerEntryTest(unittest.TestCase):
    """Fails if an invalid entry is accepted or a valid one rejected."""

    def setUp(self):
        self.decoder = objects.PlatformObjectDecoder()

    def test_valid_entry_is_decoded(self):
        entry = self.decoder.decode_server(stored(ENTRY, "i-1")).unwrap()
        self.assertEqual(entry.id, "i-1")
        self.assertEqual(entry.incarnation, 17)
        self.assertTrue(entry.accepts_work)

    def test_the_cold_time_is_decoded(self):
        body = {**ENTRY, "cold_remaining_ms": 2_900}
        entry = self.decoder.decode_server(stored(body, "i-1")).unwrap()
        self.assertEqual(entry.cold_remaining, 2.9)
        odd = {**ENTRY, "cold_remaining_ms": "soon"}
        decoded = self.decoder.decode_server(stored(odd, "i-1"))
        self.assertIn("cold_remaining_ms", decoded.unwrap_err())

    def test_errors_name_missing_and_invalid_fields(self):
        for field in ("service", "address", "zone", "state"):
            for value in (None, 5, "", "odd:odd"):
                if field in ("service", "zone") and value == "odd:odd":
                    continue
                with self.subTest(field=field, value=value):
                    decoded = self.decoder.decode_server(
                        stored({**ENTRY, field: value}, "i-1")
                    )
                    self.assertIn(field, decoded.unwrap_err())

    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.integers() | strategies.text(),
            lambda inner: (
                strategies.lists(inner)
                | strategies.dictionaries(
                    strategies.sampled_from([*ENTRY, "other"]), inner
                )
            ),
        )
    )
    def test_arbitrary_json_never_raises(self, body):
        try:
            item = stored(body, "i-1")
        except orjson.JSONEncodeError:
            return
        self.decoder.decode_server(item)
        self.decoder.decode_configuration(item)

    def test_bytes_that_are_not_json_return_an_error(self):
        item = peer_state.StoredObject("i", store_revisions.of(1, 1), b"\xff{")
        self.assertTrue(self.decoder.decode_server(item).is_err())
        self.assertTrue(self.decoder.decode_configuration(item).is_err())


if __name__ == "__main__":
    unittest.main()
