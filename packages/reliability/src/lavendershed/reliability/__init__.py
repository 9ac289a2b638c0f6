"""Retries, execution status, server health and engine memory ledger."""

from __future__ import annotations
