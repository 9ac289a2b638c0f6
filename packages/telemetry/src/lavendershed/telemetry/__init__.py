"""Numbered log events and OpenTelemetry instruments."""

from __future__ import annotations
