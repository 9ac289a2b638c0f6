"""Stand-ins of outside systems for tests and experiments."""

from __future__ import annotations
