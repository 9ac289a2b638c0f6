"""Decisions about requests that can't be placed at once."""

from __future__ import annotations
