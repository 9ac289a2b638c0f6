"""Command-line interface of the router and for its operators."""

from __future__ import annotations

VERSION = "0.1.0"
