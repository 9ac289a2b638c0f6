"""The router daemon: request execution and background tasks."""

from __future__ import annotations
