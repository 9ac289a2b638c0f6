"""Tests the log lines of a request that `explain` prints."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from click import testing

from lavendershed.cli.commands import explain

DAEMON_1 = """\
{"event":103,"request":"r1","server":"i-1","helpers":[],"timestamp":10.5,\
"message_type":"lavendershed.request_dispatched"}
{"event":103,"request":"r2","server":"i-1","timestamp":10.6,\
"message_type":"lavendershed.request_dispatched"}
{"event":105,"request":"r1","reason":"backend_serv"""
DAEMON_2 = """\
edge-2 {"event":102,"request":"r1","reason":"quarantined","timestamp":9.0,\
"message_type":"lavendershed.request_refused"}
"""


class ExplainTest(unittest.TestCase):
    """Fails if lines are missing, out of order or of another request."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = []
        for name, text in (("one.log", DAEMON_1), ("two.log", DAEMON_2)):
            path = pathlib.Path(folder.name) / name
            path.write_text(text)
            self.files.append(str(path))

    def run_command(self, *arguments, text=None):
        runner = testing.CliRunner()
        return runner.invoke(explain.explain, arguments, input=text)

    def test_lines_of_all_daemons_are_sorted_by_time(self):
        outcome = self.run_command("r1", *self.files)
        self.assertEqual(outcome.exit_code, 0)
        lines = outcome.stdout.splitlines()
        self.assertIn("two.log request_refused reason=quarantined", lines[0])
        self.assertIn("one.log request_dispatched", lines[1])
        self.assertIn("helpers=none", lines[1])
        self.assertNotIn("r2", outcome.stdout)

    def test_truncated_lines_are_counted(self):
        outcome = self.run_command("r1", *self.files)
        self.assertIn("1 lines could not be read", outcome.stderr)

    def test_standard_input_is_read_if_no_file_is_given(self):
        outcome = self.run_command("r2", text=DAEMON_1)
        self.assertEqual(outcome.exit_code, 0)
        self.assertIn("request_dispatched server=i-1", outcome.stdout)

    def test_unknown_request_is_an_error(self):
        outcome = self.run_command("r9", *self.files)
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn("no line mentions request r9", outcome.stderr)

    def test_error_names_a_missing_file(self):
        outcome = self.run_command("r1", "missing.log")
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn("missing.log can't be read", outcome.stderr)


if __name__ == "__main__":
    unittest.main()
