"""Entry point of a daemon process on the external platform."""

from __future__ import annotations

import sys

from lavendershed.platform import early_signals


def run() -> int:
    """Runs a daemon until SIGTERM; returns the exit status."""
    early_signals.install()

    from lavendershed.platform import early_listener

    # Before the import of the daemon, during which callers may connect.
    listener = early_listener.open_listener()

    from lavendershed.platform import main

    return main.main(listener)


if __name__ == "__main__":
    sys.exit(run())
