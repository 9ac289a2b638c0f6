"""Caller-facing HTTP listener."""

from __future__ import annotations
