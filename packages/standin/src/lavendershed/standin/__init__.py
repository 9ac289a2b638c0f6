"""Stand-ins for external systems in tests and benchmarks."""

from __future__ import annotations
