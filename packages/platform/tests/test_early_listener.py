"""Tests the socket that listens before a daemon is loaded."""

from __future__ import annotations

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from lavendershed.platform import early_listener

# Modules that take a large part of the start of a daemon.
HEAVY_MODULES = ("asyncio", "eliot", "h11", "opentelemetry", "result", "thrift")


class EarlyListenerTest(unittest.TestCase):
    """Guards against callers refused by a daemon that is being loaded.

    After a failure of all daemons, callers tried twice within the 0.4 s of the
    start and gave up.
    """

    def open(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            variables = {early_listener.SETTINGS_VARIABLE: str(path)}
            with mock.patch.dict(os.environ, variables):
                return early_listener.open_listener()

    def test_callers_can_connect_before_the_daemon_runs(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        listener = self.open(f'[listen]\nfrontend = "127.0.0.1:{port}"\n')
        with listener, socket.create_connection(("127.0.0.1", port), 1.0):
            self.assertEqual(listener.getsockname()[1], port)

    def test_errors_are_left_to_the_daemon(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            for text in (
                "= nothing",
                "listen = 5",
                "[listen]\nfrontend = 5",
                '[listen]\nfrontend = "10.0.0.1"',
                f'[listen]\nfrontend = "127.0.0.1:{port}"',
            ):
                with self.subTest(text=text):
                    self.assertIsNone(self.open(text))

    def test_no_module_of_the_daemon_is_loaded_for_it(self):
        """Guards against imports that delay the socket."""
        program = (
            "import sys; import lavendershed.platform.entry; "
            "print(*sys.modules)"
        )
        loaded = subprocess.run(
            [sys.executable, "-S", "-c", program],
            capture_output=True,
            check=True,
            env={"PYTHONPATH": os.pathsep.join(sys.path)},
            text=True,
        ).stdout.split()
        for module in HEAVY_MODULES:
            self.assertNotIn(module, loaded)


if __name__ == "__main__":
    unittest.main()
