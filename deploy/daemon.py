"""Starts a forwarding daemon on the platform."""

from __future__ import annotations

import sys

from lavendershed.platform import entry

if __name__ == "__main__":
    sys.exit(entry.run())
