"""Tests a daemon that can't start."""

from __future__ import annotations

import json
import os
import pathlib
import socket
import sys
import tempfile
import unittest
from unittest import mock

from lavendershed.platform import early_listener
from lavendershed.platform import main

SETTINGS = """
node_name = "edge-1"
ip = "127.0.0.1"
zone = "a"
internal_ports = [{internal}, {internal}]
[listen]
frontend = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
[bounds]
grace_s = 1
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 10
[provider]
address = "127.0.0.1:1"
"""


def free_port():
    """Returns a port that nothing listens at."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class FailedStartTest(unittest.TestCase):
    """Fails if a start that cuts off waiting callers leaves no log line."""

    def run_main(self, text):
        """Returns the exit status and the names of the logged events."""
        with tempfile.TemporaryDirectory() as folder:
            settings_path = pathlib.Path(folder) / "settings.toml"
            settings_path.write_text(text)
            log_path = pathlib.Path(folder) / "log"
            variables = {early_listener.SETTINGS_VARIABLE: str(settings_path)}
            with (
                mock.patch.dict(os.environ, variables),
                log_path.open("w") as stdout,
                mock.patch.object(sys, "stdout", stdout),
            ):
                listener = early_listener.open_listener()
                if listener is not None:
                    self.addCleanup(listener.close)
                status = main.main(listener)
            return status, [
                json.loads(line)["message_type"].removeprefix("lavendershed.")
                for line in log_path.read_text().splitlines()
            ]

    def test_settings_that_are_not_valid(self):
        status, logged = self.run_main("= nothing")
        self.assertEqual((status, logged), (78, ["settings_rejected"]))

    def test_an_address_that_is_taken(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            status, logged = self.run_main(
                SETTINGS.format(
                    internal=free_port(),
                    callers=free_port(),
                    ready=taken.getsockname()[1],
                )
            )
        self.assertEqual((status, logged[-1:]), (71, ["daemon_start_failed"]))


if __name__ == "__main__":
    unittest.main()
