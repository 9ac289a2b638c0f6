"""Messages and transports between daemons."""

from __future__ import annotations
