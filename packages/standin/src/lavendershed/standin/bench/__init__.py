"""Benchmark of routing policies in virtual time."""

from __future__ import annotations
