"""Signals that come while the daemon is loaded.

Until the daemon has its own handlers, a SIGHUP would end the process, and a
SIGTERM would end it with an error, although nothing has been served yet. This
module imports only what setting the handlers requires.
"""

from __future__ import annotations

import signal
import sys
import types


def install() -> None:
    """Ignores SIGHUP, and ends the process with 0 at SIGTERM and SIGINT.

    The settings are read after this, and again periodically, so that a change
    that a SIGHUP tells of is not lost.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, _exit)


def _exit(signal_number: int, frame: types.FrameType | None) -> None:
    sys.exit(0)
