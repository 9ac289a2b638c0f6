"""Structured log of numbered events."""

from __future__ import annotations

import abc
from typing import IO

import eliot

from lavendershed.telemetry import events

LogValue = str | int | float | bool | None | list[str]


class EventLog(abc.ABC):
    """Sink of numbered log events."""

    @abc.abstractmethod
    def emit(self, event: events.Event, **fields: LogValue) -> None:
        """Writes one event with its fields."""


class EliotEventLog(EventLog):
    """Writes events as JSON lines through eliot."""

    def __init__(self, stream: IO[str]) -> None:
        eliot.to_file(stream)

    def emit(self, event: events.Event, **fields: LogValue) -> None:
        """Writes one event with its fields."""
        eliot.log_message(
            f"lavendershed.{event.name.lower()}",
            event=int(event),
            **fields,
        )


class MemoryEventLog(EventLog):
    """Records events in memory for tests."""

    def __init__(self) -> None:
        self._records: list[tuple[events.Event, dict[str, LogValue]]] = []

    @property
    def records(self) -> list[tuple[events.Event, dict[str, LogValue]]]:
        """All recorded events, oldest first."""
        return self._records

    def emit(self, event: events.Event, **fields: LogValue) -> None:
        """Records one event with its fields."""
        self._records.append((event, fields))
