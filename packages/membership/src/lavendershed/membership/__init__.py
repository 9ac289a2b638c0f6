"""Failure detection and dissemination of versioned records."""

from __future__ import annotations
