"""Organisations, services, presets and their ordered history."""

from __future__ import annotations
