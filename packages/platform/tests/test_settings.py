"""Tests the platform's settings file."""

from __future__ import annotations

import pathlib
import resource
import tempfile
import unittest

from lavendershed.platform import settings

FILE = """
node_name = "edge-1"
ip = "10.1.0.40"
zone = "a"
internal_ports = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
unknown = "ignored"
[listen]
frontend = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 106
[provider]
address = "10.200.1.7:8223"
"""
OPTIONAL = """
bootstrap = true
[limits]
link_mbps = 20.0
"""


class SettingsTest(unittest.TestCase):
    """Fails if a setting is decoded wrongly or an error does not name it."""

    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            return settings.load(path)

    def test_all_fields_are_decoded(self):
        loaded = self.load(FILE).unwrap()
        self.assertEqual(str(loaded.caller_address), "10.1.0.40:8227")
        self.assertEqual(str(loaded.peer_address), "10.1.0.40:7340")
        self.assertEqual(str(loaded.seeds[1]), "10.2.0.29:7340")
        self.assertEqual(loaded.grace_period, 8.0)
        self.assertEqual(loaded.retry_budget.slack, 106)

    def test_limits_of_callers_follow_those_of_the_machine(self):
        """Fails if a large machine refuses, or a small one is outgrown."""
        for memory_mb, descriptors in ((160, 4_100), (552, 8_192)):
            with self.subTest(memory_mb=memory_mb):
                loaded = self.load(
                    f"{FILE}[limits]\nmemory_mb = {memory_mb}\n"
                    f"max_fds = {descriptors}\n"
                ).unwrap()
                memory = memory_mb * 1_000_000
                callers, readiness = (
                    loaded.client_limits,
                    loaded.readiness_limits,
                )
                self.assertEqual(callers.memory, int(memory * 0.22))
                # Room for the process, responses and what the store sends.
                held = callers.memory + readiness.memory + loaded.buffer_bytes
                self.assertLess(held, memory / 2)
                # Each of the largest bodies is held twice while it is handled.
                self.assertGreater(callers.memory, 4 * 2 * 4_194_304)
                sockets = descriptors - 200
                self.assertEqual(callers.connections, int(sockets * 0.6))
                self.assertLess(
                    callers.connections + readiness.connections, sockets * 0.65
                )

    def test_descriptors_without_a_statement_are_those_of_the_process(self):
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertEqual(self.load(FILE).unwrap().descriptors, soft_limit)
        stated = self.load(f"{FILE}[limits]\nmax_fds = {10 * soft_limit}\n")
        self.assertEqual(stated.unwrap().descriptors, soft_limit)

    def test_optional_fields_have_defaults(self):
        loaded = self.load(FILE).unwrap()
        self.assertEqual(loaded.bandwidth_mbps, 0)
        self.assertFalse(loaded.first_start)
        top_level, _, tables = FILE.partition("[listen]")
        loaded = self.load(top_level + OPTIONAL + "[listen]" + tables).unwrap()
        self.assertEqual(loaded.bandwidth_mbps, 20)
        self.assertTrue(loaded.first_start)

    def test_evacuations_are_off_unless_a_bound_is_set(self):
        """Guards against further calls to the store on other deployments."""
        self.assertIsNone(self.load(FILE).unwrap().evacuation_bound)
        bounds = FILE.replace("[bounds]", "[bounds]\nevacuate_ms = 5000")
        self.assertEqual(self.load(bounds).unwrap().evacuation_bound, 5.0)
        problem = self.load(bounds.replace("5000", "'5 s'")).unwrap_err()
        self.assertIn("evacuate_ms", problem)

    def test_errors_name_the_field(self):
        for field, line in (
            ("frontend", 'frontend = "edge:8227"'),
            ("grace_s", "grace_s = -1"),
            ("internal_ports", "internal_ports = []"),
            ("zone", "zone = 5"),
            ("address", 'address = "10.200.1.7"'),
        ):
            lines = [
                line if old.startswith(f"{field} =") else old
                for old in FILE.splitlines()
            ]
            with self.subTest(field=field):
                problem = self.load("\n".join(lines)).unwrap_err()
                self.assertIn(field, problem)

    def test_missing_or_invalid_file_is_an_error(self):
        self.assertTrue(self.load("= nothing").is_err())
        missing = settings.load(pathlib.Path("missing.toml"))
        self.assertIn("missing.toml", missing.unwrap_err())


if __name__ == "__main__":
    unittest.main()
