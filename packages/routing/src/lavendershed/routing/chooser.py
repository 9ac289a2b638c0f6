"""Choice of the model engine that runs a request."""

from __future__ import annotations

import abc
from collections.abc import Sequence
import dataclasses
import itertools

import result

from lavendershed.core import ids
from lavendershed.core import requests
from lavendershed.core import units


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One engine that could run the request, as this daemon sees it."""

    engine: ids.BackendServerId
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen engine.

    Attributes:
        reason: Grounds of the choice, for the log line.
    """

    engine: ids.BackendServerId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """No engine has room; the request stays queued."""

    reason: str


class EngineChooser(abc.ABC):
    """Policy that chooses an engine for a request."""

    @abc.abstractmethod
    def choose(
        self,
        request: requests.GenerateRequest,
        candidates: Sequence[Candidate],
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the engine to use, or why the request has to wait."""


class RoundRobin(EngineChooser):
    """Takes engines in turn."""

    def __init__(self) -> None:
        self._turn = itertools.count()

    def choose(
        self,
        request: requests.GenerateRequest,
        candidates: Sequence[Candidate],
        now: units.Instant,
    ) -> result.Result[Choice, Wait]:
        """Returns the next engine in turn."""
        if not candidates:
            return result.Err(Wait("no engine is available"))
        turn = next(self._turn)
        candidate = candidates[turn % len(candidates)]
        return result.Ok(Choice(candidate.engine, f"turn {turn}"))
