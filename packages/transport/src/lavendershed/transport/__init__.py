"""HTTP/1.1 connections and the event-loop timer service."""

from __future__ import annotations
