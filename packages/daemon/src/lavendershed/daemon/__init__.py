"""The router: request execution and synchronisation loops."""

from __future__ import annotations
