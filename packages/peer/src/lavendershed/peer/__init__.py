"""Messages between daemons and their transports."""

from __future__ import annotations
