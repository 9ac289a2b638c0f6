"""Guards the operator commands: one clear error for each bad input."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

from click import testing
import orjson
import test_configuration_file

from lavendershed.cli import failures
from lavendershed.cli import main
from lavendershed.core import ids
from lavendershed.core import object_store
from lavendershed.objects import status
from lavendershed.standin import memory_store

CODES = failures.ExitCode
STORE = ("--store", "127.0.0.1:9000")


class CommandsTest(unittest.TestCase):
    """Fails if a bad input changes something or gives no clear error."""

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
        ended = self.run_command(*arguments)
        self.assertEqual(ended.exit_code, 0, ended.output)
        return ended.output

    def run_json(self, *arguments):
        return orjson.loads(self.run_ok(*arguments, "--output", "json"))

    def refused(self, code, text, *arguments):
        before = self.run_ok("export")
        ended = self.run_command(*arguments)
        self.assertEqual(ended.exit_code, code, ended.output)
        self.assertEqual(ended.output.count("Error: "), 1, ended.output)
        self.assertIn(text, ended.output)
        self.assertIsInstance(ended.exception, SystemExit)
        self.assertEqual(self.run_ok("export"), before)

    def test_entities_are_created_changed_and_deleted(self):
        self.run_ok("organisation", "create", "radio", "--token", "abc")
        self.run_ok("organisation", "change", "radio", "--weight", "2")
        shown = self.run_json("organisation", "show", "radio")
        self.assertEqual((shown["weight"], len(shown["token_hashes"])), (2, 1))
        self.run_ok("organisation", "change", "radio", "--remove-token", "abc")
        self.assertNotIn("abc", self.run_ok("export"))
        self.run_ok(
            *("service", "create", "ledger", "--kind", "plain"),
            *("--server", "ledger-1,127.0.0.1:9100,zone-a"),
            *("--booked-route", "reserve", "--idempotent-route", "proofs"),
        )
        self.run_ok("service", "change", "ledger", "--remove-route", "proofs")
        shown = self.run_json("service", "show", "ledger")
        self.assertEqual(
            shown["routes"], [{"path": "reserve", "idempotent": False}]
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

    def test_bad_inputs_are_refused(self):
        for code, text, arguments in (
            (CODES.INVALID, "peak", ("preset", "activate", "peak")),
            (CODES.INVALID, "--colour", ("preset", "list", "--colour", "x")),
            (
                CODES.INVALID,
                "organisations[press].weight",
                ("organisation", "change", "press", "--weight", "-1"),
            ),
            (
                CODES.INVALID,
                "exists already",
                ("organisation", "create", "press"),
            ),
            (CODES.INVALID, "no service x", ("service", "show", "x")),
            (
                CODES.INVALID,
                "not an IP address",
                (
                    *("service", "change", "drafting", "--server"),
                    "engine-2,engine.example:80,zone-a",
                ),
            ),
            (CODES.INVALID, "active", ("preset", "delete", "ordinary")),
            (
                CODES.INVALID,
                "service_plans[drafting]",
                ("service", "delete", "drafting"),
            ),
            (
                CODES.INVALID,
                "has epoch 1",
                ("apply", str(self.file), "--expect-epoch", "7"),
            ),
            (CODES.INVALID, "cannot be read", ("apply", "absent.toml")),
            (
                CODES.INVALID,
                "drafting:prefill",
                ("preset", "create", "p", "--role", "x=1"),
            ),
        ):
            with self.subTest(arguments):
                self.refused(code, text, *arguments)

    def test_bad_toml_names_its_line(self):
        self.file.write_text("active_preset = 'a'\nweight = = 1\n")
        self.refused(CODES.INVALID, "line 2", "apply", str(self.file))

    def test_store_down_is_one_error(self):
        self.store.set_down(True)
        for command in (
            ("preset", "activate", "ordinary", "--time-limit-seconds", "0.1"),
            ("status",),
            ("history",),
            ("export",),
        ):
            with self.subTest(command):
                ended = self.run_command(*command)
                self.assertEqual(ended.exit_code, CODES.STORE, ended.output)
                self.assertEqual(ended.output.count("Error: "), 1)

    def test_lost_answer_is_settled(self):
        # The new preset is one chunk, whose write loses its answer too.
        self.store.lose_answers(2)
        self.run_ok("preset", "create", "peak")
        summaries = [c["summary"] for c in self.run_json("history")]
        self.assertEqual(summaries.count("create preset peak"), 1)

    def test_wait_tells_which_router_is_behind(self):
        reports = {"vm-1": 2, "vm-2": 1, "vm-gone": 1}
        self.store.set_live(("vm-1", "vm-2"))
        for vm, epoch in reports.items():
            self.report(vm, epoch)
        command = ("preset", "create", "peak", "--wait", "--wait-seconds", "0")
        ended = self.run_command(*command)
        self.assertEqual(ended.exit_code, CODES.NOT_IN_FORCE)
        self.assertIn("vm-2 has epoch 1", ended.output)
        self.assertNotIn("vm-gone has", ended.output)
        self.assertNotIn("vm-1 has", ended.output)
        routers = self.run_json("status")["routers"]
        self.assertEqual({r["vm"]: r["epoch"] for r in routers}, reports)

    def test_wait_ends_when_all_have_the_epoch(self):
        self.report("vm-1", 2)
        output = self.run_ok("preset", "create", "peak", "--wait")
        self.assertIn("in force on 1 routers", output)

    def test_status_shows_what_is_wanted_of_each_engine(self):
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

    def test_shell_completion_is_offered(self):
        name = "_LAVENDERSHED_COMPLETE"
        ended = testing.CliRunner().invoke(
            main.main, prog_name="lavendershed", env={name: "bash_source"}
        )
        self.assertIn("complete", ended.output)

    def report(self, vm, epoch):
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
