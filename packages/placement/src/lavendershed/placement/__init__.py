"""Leases, fencing numbers and placement orders for model engines."""

from __future__ import annotations
