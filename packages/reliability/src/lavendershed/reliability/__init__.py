"""Retries, execution truth, crash suspects, memory ledger."""

from __future__ import annotations
