"""At-most-once execution of non-idempotent calls."""

from __future__ import annotations
