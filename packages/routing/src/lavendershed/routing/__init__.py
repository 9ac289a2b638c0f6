"""Admission, fair queueing, engine choice and engine groups."""

from __future__ import annotations
