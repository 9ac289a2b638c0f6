"""Starts a daemon on the users' platform."""

from __future__ import annotations

import sys

from lavendershed.platform import main

if __name__ == "__main__":
    sys.exit(main.main())
