"""Leases, fencing numbers and orders to model engines."""

from __future__ import annotations
