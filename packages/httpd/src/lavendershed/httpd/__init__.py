"""HTTP front end for callers."""

from __future__ import annotations
