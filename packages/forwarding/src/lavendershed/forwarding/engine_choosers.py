"""Engine choosers, one for each service with model engines."""

from __future__ import annotations

import random

from lavendershed.core import ids
from lavendershed.routes import model
from lavendershed.routing import engine_choice
from lavendershed.routing import engine_slowdown
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker


class EngineChoosers:
    """Engine chooser of each service, until its engine profile changes."""

    def __init__(
        self,
        tracker: load_tracker.LoadTracker,
        slowdowns: engine_slowdown.EngineSlowdowns,
        generator: random.Random,
    ) -> None:
        self._load_tracker = tracker
        self._slowdowns = slowdowns
        self._random = generator
        self._choosers: dict[
            ids.ServiceId,
            tuple[
                latency_model.LatencyModel, engine_choice.PredictedLossChooser
            ],
        ] = {}

    @property
    def slowdowns(self) -> engine_slowdown.EngineSlowdowns:
        """Slowdown estimates of the engines."""
        return self._slowdowns

    def predicted_iteration_ms(
        self, service: model.Service, server: ids.BackendServerId
    ) -> float:
        """Returns the iteration time of an engine under its current load.

        It is 0 before the chooser of the service is first used.
        """
        cached = self._choosers.get(service.id)
        if cached is None:
            return 0.0
        load = self._load_tracker.load(server)
        return cached[0].iteration_ms(
            max(1, len(load.decoding)), load.context_tokens
        )

    def chooser(
        self, service: model.Service
    ) -> engine_choice.PredictedLossChooser | None:
        """Returns the chooser of a service; None for a plain service."""
        profile = service.engine
        if profile is None:
            return None
        cached = self._choosers.get(service.id)
        if cached is not None and cached[0].profile == profile:
            return cached[1]
        service_latency_model = latency_model.LatencyModel(profile)
        chooser = engine_choice.PredictedLossChooser(
            service_latency_model,
            self._load_tracker,
            self._slowdowns,
            self._random,
        )
        self._choosers[service.id] = (service_latency_model, chooser)
        return chooser
