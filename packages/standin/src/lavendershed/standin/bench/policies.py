"""Policies that the benchmark compares."""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

from lavendershed.core import ids
from lavendershed.routing import chooser

# Takes the prefill rate of an engine.
ChooserFactory = Callable[[float], chooser.EngineChooser]
Poll = Callable[[ids.BackendServerId, Any], None]


class Policy(enum.Enum):
    """Engine choosers, the baselines first."""

    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding"
    LEAST_OUTSTANDING_PRIORITIES = "least outstanding, priorities"
    PREDICTED_COST = "predicted cost"


FACTORIES: dict[Policy, ChooserFactory] = {
    Policy.ROUND_ROBIN: lambda rate: chooser.RoundRobin(),
    Policy.LEAST_OUTSTANDING: lambda rate: chooser.LeastOutstanding(),
    Policy.LEAST_OUTSTANDING_PRIORITIES: (
        lambda rate: chooser.LeastOutstanding(prioritised=True)
    ),
    Policy.PREDICTED_COST: chooser.PredictedCost,
}
