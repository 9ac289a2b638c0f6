"""Tests the operator commands and their errors."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from click import testing
import orjson
import test_configuration_file

from lavendershed.cli import errors
from lavendershed.cli import main
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.objects import status
from lavendershed.standin import memory_store

ExitCode = errors.ExitCode
STORE = ("--store", "127.0.0.1:9000")


class CommandsTest(unittest.TestCase):
    """Fails if invalid input changes the store or gives no single error."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = pathlib.Path(directory.name) / "configuration.toml"
        self.file.write_text(test_configuration_file.VALID)
        self.store = memory_store.MemoryObjectStore()
        patch = mock.patch(
            "lavendershed.cli.session.http_store.HttpObjectStore",
            lambda _connections: self.store,
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.run_ok("apply", str(self.file))

    def run_command(self, *arguments):
        return testing.CliRunner().invoke(main.main, [*arguments, *STORE])

    def run_ok(self, *arguments):
        outcome = self.run_command(*arguments)
        self.assertEqual(outcome.exit_code, 0, outcome.output)
        return outcome.output

    def run_json(self, *arguments):
        return orjson.loads(self.run_ok(*arguments, "--output", "json"))

    def assert_refused(self, code, text, *arguments):
        before = self.run_ok("export")
        outcome = self.run_command(*arguments)
        self.assertEqual(outcome.exit_code, code, outcome.output)
        self.assertEqual(outcome.output.count("Error: "), 1, outcome.output)
        self.assertIn(text, outcome.output)
        self.assertIsInstance(outcome.exception, SystemExit)
        self.assertEqual(self.run_ok("export"), before)

    def test_entities_are_created_changed_and_deleted(self):
        self.run_ok("organisation", "create", "radio", "--token", "abc")
        self.run_ok("organisation", "change", "radio", "--weight", "2")
        fields = self.run_json("organisation", "show", "radio")
        self.assertEqual(
            (fields["weight"], len(fields["token_hashes"])), (2, 1)
        )
        self.run_ok("organisation", "change", "radio", "--remove-token", "abc")
        self.assertNotIn("abc", self.run_ok("export"))
        self.run_ok(
            *("service", "create", "ledger", "--kind", "plain"),
            *("--server", "ledger-1,127.0.0.1:9100,zone-a"),
            *("--booked-route", "reserve", "--idempotent-route", "proofs"),
        )
        self.run_ok("service", "change", "ledger", "--remove-route", "proofs")
        fields = self.run_json("service", "show", "ledger")
        self.assertEqual(
            fields["routes"], [{"path": "reserve", "idempotent": False}]
        )
        self.run_ok(
            *("preset", "create", "peak", "--long-prefill-share", "0.25"),
            *("--role", "drafting:prefill=0.5"),
            *("--want", "drafting:advisor@2+nautical=1"),
        )
        self.run_ok("preset", "activate", "peak")
        (plan,) = self.run_json("preset", "show", "peak")["service_plans"]
        self.assertEqual(plan["models"][0]["adapters"], ["nautical"])
        active = {
            row["name"]: row["active"]
            for row in self.run_json("preset", "list")
        }
        self.assertEqual(active, {"ordinary": "no", "peak": "yes"})
        self.run_ok("preset", "delete", "ordinary")
        self.run_ok("service", "delete", "ledger")
        epochs = [change["epoch"] for change in self.run_json("history")]
        self.assertEqual(epochs, list(range(1, len(epochs) + 1)))

    def test_invalid_input_changes_nothing(self):
        for code, text, arguments in (
            (ExitCode.INVALID, "peak", ("preset", "activate", "peak")),
            (ExitCode.INVALID, "--colour", ("preset", "list", "--colour", "x")),
            (
                ExitCode.INVALID,
                "organisations[press].weight",
                ("organisation", "change", "press", "--weight", "-1"),
            ),
            (
                ExitCode.INVALID,
                "exists already",
                ("organisation", "create", "press"),
            ),
            (ExitCode.INVALID, "no service x", ("service", "show", "x")),
            (
                ExitCode.INVALID,
                "not an IP address",
                (
                    *("service", "change", "drafting", "--server"),
                    "engine-2,engine.example:80,zone-a",
                ),
            ),
            (ExitCode.INVALID, "active", ("preset", "delete", "ordinary")),
            (
                ExitCode.INVALID,
                "service_plans[drafting]",
                ("service", "delete", "drafting"),
            ),
            (
                ExitCode.INVALID,
                "has epoch 1",
                ("apply", str(self.file), "--expect-epoch", "7"),
            ),
            (ExitCode.INVALID, "cannot be read", ("apply", "absent.toml")),
            (
                ExitCode.INVALID,
                "drafting:prefill",
                ("preset", "create", "p", "--role", "x=1"),
            ),
        ):
            with self.subTest(arguments):
                self.assert_refused(code, text, *arguments)

    def test_toml_syntax_error_names_the_line(self):
        self.file.write_text("active_preset = 'a'\nweight = = 1\n")
        self.assert_refused(ExitCode.INVALID, "line 2", "apply", str(self.file))

    def test_unavailable_store_gives_a_single_error(self):
        self.store.set_unavailable(True)
        for command in (
            ("preset", "activate", "ordinary", "--time-limit-seconds", "0.1"),
            ("status",),
            ("history",),
            ("export",),
        ):
            with self.subTest(command):
                outcome = self.run_command(*command)
                self.assertEqual(
                    outcome.exit_code, ExitCode.STORE, outcome.output
                )
                self.assertEqual(outcome.output.count("Error: "), 1)

    def test_change_whose_response_is_lost_is_applied_once(self):
        # The new preset is one chunk; the response to its write is lost too.
        self.store.lose_responses(2)
        self.run_ok("preset", "create", "peak")
        summaries = [c["summary"] for c in self.run_json("history")]
        self.assertEqual(summaries.count("create preset peak"), 1)

    def test_wait_names_routers_with_an_older_epoch(self):
        epochs = {"vm-1": 2, "vm-2": 1, "vm-stopped": 1}
        self.store.set_live_vms(("vm-1", "vm-2"))
        for vm, epoch in epochs.items():
            self.put_status(vm, epoch)
        arguments = (
            "preset",
            "create",
            "peak",
            "--wait",
            "--wait-seconds",
            "0",
        )
        outcome = self.run_command(*arguments)
        self.assertEqual(outcome.exit_code, ExitCode.NOT_APPLIED)
        self.assertIn("vm-2 has epoch 1", outcome.output)
        self.assertNotIn("vm-stopped has", outcome.output)
        self.assertNotIn("vm-1 has", outcome.output)
        routers = self.run_json("status")["routers"]
        self.assertEqual({r["vm"]: r["epoch"] for r in routers}, epochs)

    def test_wait_succeeds_when_all_routers_have_the_epoch(self):
        self.put_status("vm-1", 2)
        output = self.run_ok("preset", "create", "peak", "--wait")
        self.assertIn("in force on 1 routers", output)

    def test_status_shows_the_target_role_and_models_of_engines(self):
        record = (
            b'{"fencing_number": 3, "targets": [{"engine": "engine-1", '
            b'"role": "prefill", "models": ["almanac@2"]}]}'
        )
        key = ids.ObjectKey("placement/drafting")
        asyncio.run(self.store.put(key, record, object_store.IfAbsent()))
        output = self.run_ok("status")
        for text in ("engine-1", "drafting", "prefill", "almanac@2"):
            self.assertIn(text, output)
        (placement,) = self.run_json("status")["engines"]
        self.assertEqual(placement["service"], "drafting")

    def test_shell_completion_script_is_generated(self):
        name = "_LAVENDERSHED_COMPLETE"
        outcome = testing.CliRunner().invoke(
            main.main, prog_name="lavendershed", env={name: "bash_source"}
        )
        self.assertIn("complete", outcome.output)

    def put_status(self, vm, epoch):
        entry = status.DaemonStatus(
            ids.VmId(vm),
            ids.Incarnation(1),
            ids.AvailabilityZoneId("zone-a"),
            "127.0.0.1:1",
            ids.Epoch(epoch),
            ids.PresetName("ordinary"),
        )
        put = self.store.put(
            status.status_key(entry.vm),
            status.DAEMON_STATUS_CODEC.encode(entry),
            object_store.IfAbsent(),
        )
        asyncio.run(put)


if __name__ == "__main__":
    unittest.main()
