"""Tests the check of a configuration before it is sent."""

from __future__ import annotations

import asyncio
import copy
import pathlib
import tempfile
import unittest

from click import testing
import hypothesis
from hypothesis import strategies
import orjson

from lavendershed.admission import server_pauses
from lavendershed.cli import errors
from lavendershed.cli import main
from lavendershed.core import ids
from lavendershed.core import store_revisions
from lavendershed.core import timers
from lavendershed.forwarding import deployment_view
from lavendershed.forwarding import server_notices
from lavendershed.peer import peer_state
from lavendershed.platform import objects
from lavendershed.reliability import server_health
from lavendershed.standin import platform_store
from lavendershed.telemetry import log
from lavendershed.telemetry import request_instruments
from lavendershed.transport import event_loop_timers

KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "q9xk2mzr71bd0eh5tvwa"
ROUTE = {
    "name": "chat",
    "host": "users.example",
    "path_prefix": "/chat/",
    "kind": "streaming",
    "timeout_ms": 10_000,
    "target_latency_ms": 300,
    "gap_target_ms": 250,
    "priority": 1,
    "weighted_services": [
        {"service": "models", "weight": 90},
        {"service": "spare", "weight": 10},
    ],
    "max_attempts": 2,
    "public": False,
    "resumable": True,
}
CONFIGURATION = {
    "version": 7,
    "route_table": [ROUTE],
    "services": [
        {
            "name": "models",
            "max_connections": 434,
            "engine": {
                "slots": 8,
                "kv_capacity": 315_000,
                "step_ms": 0.85,
                "read_per_s": 177_000.0,
                "usual": {"answer": 1_622},
            },
        },
        {"name": "spare", "max_connections": 434},
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [
        {"name": "press", "api_keys": [KEY]},
        {"name": "radio", "api_keys": [OTHER_KEY]},
    ],
}


def node_paths(value, path=()):
    """Returns the paths of all fields and elements in a JSON value."""
    if isinstance(value, dict):
        items = list(value.items())
    else:
        items = list(enumerate(value)) if isinstance(value, list) else []
    return [
        found
        for key, child in items
        for found in ((*path, key), *node_paths(child, (*path, key)))
    ]


def replaced(body, path, value):
    """Returns a copy of a configuration with another value at a path."""
    changed = copy.deepcopy(body)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


class CheckTest(unittest.TestCase):
    """Fails if the check accepts what daemons reject, or shows keys."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.body = copy.deepcopy(CONFIGURATION)

    def write(self, name, body):
        path = self.directory / name
        path.write_bytes(
            body if isinstance(body, bytes) else orjson.dumps(body)
        )
        return str(path)

    def run_check(self, body, *arguments):
        outcome = testing.CliRunner().invoke(
            main.main,
            ["check", self.write("new.json", body), *arguments],
        )
        for key in (KEY, OTHER_KEY):
            self.assertNotIn(key, outcome.output)
        return outcome

    def found(self, status, *arguments, body=None):
        outcome = self.run_check(
            self.body if body is None else body,
            *arguments,
            "--format",
            "json",
        )
        self.assertEqual(outcome.exit_code, status, outcome.output)
        return [
            (row["rule"], row["place"]) for row in orjson.loads(outcome.output)
        ]

    def changes(self):
        self.body["version"] = 8
        current = self.write("current.json", CONFIGURATION)
        found = self.found(0, "--against", current)
        self.assertEqual(found.pop(0), ("version_changed", "version"))
        return found

    def test_sound_configuration_has_no_findings(self):
        outcome = self.run_check(self.body)
        self.assertEqual(
            (outcome.exit_code, outcome.output), (0, "nothing found\n")
        )

    def test_invalid_fields_are_named_by_their_path(self):
        for path, text in (
            (("route_table", 0, "kind"), "route_table[0].kind"),
            (
                ("route_table", 0, "weighted_services", 1, "weight"),
                "route_table[0].weighted_services[1].weight",
            ),
            (("services", 0, "engine", "slots"), "services[0].engine.slots"),
            (("services", 1), "services[1]"),
            (("limits", "max_body_bytes"), "limits.max_body_bytes"),
            (("tenants", 1, "api_keys"), "tenants[1].api_keys"),
            (("version",), "version"),
        ):
            with self.subTest(path=path):
                outcome = self.run_check(replaced(self.body, path, "odd"))
                self.assertEqual(outcome.exit_code, 2)
                self.assertIn(f" {text}: ", outcome.output)
        self.assertEqual(self.run_check(b'{"version": 7').exit_code, 2)

    def test_keys_are_not_shown_whole(self):
        for organisation in self.body["tenants"]:
            organisation["api_keys"] = [KEY, "short"]
        outcome = self.run_check(self.body)
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn("n2ct…", outcome.output)
        self.assertIn("key … of organisation radio", outcome.output)
        self.assertNotIn("shor", outcome.output)

    def test_warnings_name_the_place(self):
        odd_route = ROUTE | {"name": "odd", "host": "users.example:80"}
        for path, value, expected in (
            (
                ("route_table",),
                [ROUTE, ROUTE | {"name": "new"}],
                ("route_hidden", "route_table[0].path_prefix"),
            ),
            (
                ("route_table",),
                [ROUTE, odd_route],
                ("route_unmatchable", "route_table[1].host"),
            ),
            (
                ("route_table", 0, "path_prefix"),
                "/chat",
                ("route_unmatchable", "route_table[0].path_prefix"),
            ),
            (
                ("route_table", 0, "weighted_services", 0, "weight"),
                0,
                (
                    "service_without_weight",
                    "route_table[0].weighted_services",
                ),
            ),
            (
                ("route_table", 0, "weighted_services"),
                [],
                ("route_without_service", "route_table[0].weighted_services"),
            ),
            (
                ("route_table", 0, "weighted_services", 0, "service"),
                "gone",
                ("service_unknown", "route_table[0].weighted_services"),
            ),
            (
                ("services", 0, "name"),
                "other",
                ("service_unused", "services[0].name"),
            ),
            (
                ("services", 0, "name"),
                "spare",
                ("name_repeated", "services[1]"),
            ),
            (
                ("services", 0, "max_connections"),
                0,
                (
                    "service_without_connections",
                    "services[0].max_connections",
                ),
            ),
            (
                ("route_table", 0, "timeout_ms"),
                299,
                ("timeout_below_target", "route_table[0].timeout_ms"),
            ),
            (
                ("route_table", 0, "max_attempts"),
                0,
                ("attempts_none", "route_table[0].max_attempts"),
            ),
            (
                ("limits", "max_header_bytes"),
                16_385,
                ("head_above_parser", "limits.max_header_bytes"),
            ),
            (
                ("limits", "header_timeout_ms"),
                15_001,
                ("head_timeout_above_idle", "limits.header_timeout_ms"),
            ),
            (
                ("tenants", 1, "api_keys"),
                [OTHER_KEY, KEY],
                ("key_repeated", "tenants[1].api_keys"),
            ),
        ):
            with self.subTest(expected=expected):
                body = replaced(self.body, path, value)
                self.assertIn(expected, self.found(1, body=body))

    def test_difference_is_said_with_its_place(self):
        self.body["route_table"][0]["weighted_services"][0]["weight"] = 50
        self.body["route_table"][0]["timeout_ms"] = 9_000
        self.body["route_table"].append(
            ROUTE | {"name": "new", "path_prefix": "/new/"}
        )
        self.body["services"][0]["engine"]["slots"] = 9
        self.body["services"][0]["cold_start_s"] = 5
        self.body["services"].append({"name": "third", "max_connections": 1})
        self.body["route_table"][1]["weighted_services"] = [
            {"service": "third", "weight": 1}
        ]
        self.body["limits"]["max_body_bytes"] = 5
        self.assertEqual(
            self.changes(),
            [
                ("weight_changed", "route_table[0].weighted_services"),
                ("route_changed", "route_table[0].timeout_ms"),
                ("route_added", "route_table[1]"),
                ("service_changed", "services[0].cold_start_s"),
                ("service_changed", "services[0].engine.slots"),
                ("service_added", "services[2]"),
                ("limit_changed", "limits.max_body_bytes"),
            ],
        )

    def test_removals_and_keys_are_said(self):
        self.body["route_table"] = []
        self.body["services"] = []
        self.body["tenants"] = [
            {"name": "press", "api_keys": ["a1b2c3d4e5f6a7b8"]}
        ]
        self.assertEqual(
            self.changes(),
            [
                ("route_removed", "route_table"),
                ("service_removed", "services"),
                ("service_removed", "services"),
                ("key_added", "tenants[0].api_keys"),
                ("key_withdrawn", "tenants[0].api_keys"),
                ("organisation_removed", "tenants"),
            ],
        )

    def test_version_that_daemons_ignore_is_an_error(self):
        current = self.write("current.json", CONFIGURATION)
        self.assertEqual(self.found(0, "--against", current), [])
        self.body["limits"]["max_body_bytes"] = 5
        self.assertIn(
            ("version_not_newer", "version"),
            self.found(2, "--against", current),
        )

    @hypothesis.settings(max_examples=150, deadline=None)
    @hypothesis.given(strategies.data())
    def test_check_accepts_what_daemons_accept(self, data):
        path = data.draw(strategies.sampled_from(node_paths(CONFIGURATION)))
        value = data.draw(
            strategies.sampled_from(
                (None, True, -1, 0, 1.5, 2**63, 1e300, "", "x", [], [1], {})
            )
        )
        body = replaced(CONFIGURATION, path, value)
        view = deployment_view.DeploymentView(
            objects.PlatformObjectDecoder(),
            server_health.ServerHealth(),
            log.MemoryEventLog(),
            server_notices.ServerNoticeObserver(
                server_pauses.ServerPauses(),
                timers.VirtualTimerService(),
                log.MemoryEventLog(),
                request_instruments.RequestInstruments(ids.VmId("vm")),
            ),
        )
        view.on_configuration(
            peer_state.StoredObject(
                "main", store_revisions.of(1, 3), orjson.dumps(body)
            )
        )
        accepted = self.run_check(body).exit_code != 2
        # Version 0 is older than that of a daemon without a configuration.
        self.assertEqual(accepted, view.version > 0 or body.get("version") == 0)


class StoreCheckTest(unittest.IsolatedAsyncioTestCase):
    """Fails if the version in force or the servers are not read."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = pathlib.Path(directory.name) / "new.json"
        self.file.write_bytes(orjson.dumps(CONFIGURATION | {"version": 9}))
        self.store = platform_store.StandinPlatformStore(
            event_loop_timers.EventLoopTimerService(asyncio.get_running_loop())
        )
        await self.store.start()
        self.addCleanup(self.store.close)
        self.store.put("config", "main", CONFIGURATION)
        for number, service in enumerate(("models", "models", "spare")):
            self.store.put(
                "servers",
                f"i-{number}",
                {
                    "service": service,
                    "address": "10.0.0.9:80",
                    "zone": "a",
                    "state": "ready",
                    "born": 17,
                    "seq": 4,
                },
            )

    async def run_check(self):
        # The command runs an event loop of its own.
        outcome = await asyncio.to_thread(
            testing.CliRunner().invoke,
            main.main,
            ["check", str(self.file), "--store", str(self.store.address)],
        )
        return outcome.exit_code, outcome.output

    async def test_store_gives_the_version_in_force_and_the_servers(self):
        status, text = await self.run_check()
        self.assertEqual(status, 1, text)
        self.assertIn("version 9 follows 7", text)
        self.assertIn("service spare has 1 servers", text)
        self.assertNotIn("service models has", text)

    async def test_store_that_refuses_calls_is_an_error(self):
        self.store.fault = platform_store.StoreFault.BUSY
        status, text = await self.run_check()
        self.assertEqual(status, errors.ExitCode.STORE)
        self.assertIn("config: refused", text)


if __name__ == "__main__":
    unittest.main()
