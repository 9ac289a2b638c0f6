"""Identifiers, states, outcomes, timers and adapter interfaces."""

from __future__ import annotations

__all__ = [
    "backend_servers",
    "cluster",
    "deadlines",
    "ids",
    "object_store",
    "outcomes",
    "rendezvous",
    "requests",
    "states",
    "timers",
    "units",
]
