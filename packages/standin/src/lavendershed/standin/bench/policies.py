"""Routing policies that the benchmark compares."""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

from lavendershed.core import ids
from lavendershed.routing import chooser

# The argument is the prefill rate of an engine in tokens per second.
ChooserFactory = Callable[[float], chooser.EngineChooser]
Poll = Callable[[ids.BackendServerId, Any], None]


class Policy(enum.Enum):
    """Routing policies; all but the last one are baselines."""

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
