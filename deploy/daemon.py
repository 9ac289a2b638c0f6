"""Starts a forwarding daemon on the platform."""

from __future__ import annotations

import sys

from lavendershed.platform import early_listener

if __name__ == "__main__":
    # Before the import of the daemon, during which callers may connect.
    listener = early_listener.open_listener()

    from lavendershed.platform import main

    sys.exit(main.main(listener))
