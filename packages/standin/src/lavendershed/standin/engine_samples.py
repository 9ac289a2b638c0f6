"""Sample engines and open work for tests and measurements of the choice."""

from __future__ import annotations

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routes import engine_profile
from lavendershed.routing import load_board
from lavendershed.routing import pass_model
from lavendershed.routing import placements

ZONE = ids.AvailabilityZoneId("a")
NOW = units.Instant(100.0)
# Figures of the engines of the first deployment.
PROFILE = engine_profile.EngineProfile(
    slots=8,
    memory=units.Tokens(315_000),
    steps_per_pass=51,
    step_ms=0.85,
    writer_step_ms=0.0085,
    context_step_ms=0.00285,
    read_tokens_per_ms=177.0,
    pairs_ms=0.184,
    read_tokens_per_step=2_048,
    usual_answer=units.Tokens(1_600),
    helper_hop_ms=0.05,
)


def engine(
    name: str, zone: ids.AvailabilityZoneId = ZONE
) -> server_directory.ServerEntry:
    """Returns the entry of an engine."""
    return server_directory.ServerEntry(
        ids.BackendServerId(name),
        ids.Incarnation(1),
        ids.ServiceId("model"),
        addresses.Address("10.0.0.1", 80),
        zone,
        forwarding_states.ServerState.READY,
    )


def writing(server: str, request: int = 1) -> load_board.Work:
    """Returns a short request that writes for one more second."""
    return load_board.Work(
        request=request,
        server=ids.BackendServerId(server),
        phase=forwarding_states.InferencePhase.DECODE,
        read_ms=30.0,
        ready_at=units.Instant(NOW + 0.05),
        ends_at=units.Instant(NOW + 1.0),
        memory=7_000,
        context=5_000,
        longest_pause=units.Seconds(0.25),
        due_at=units.Instant(NOW + 0.3),
        credit=1.3,
    )


def demand(
    prompt: int,
    answer: int = 1_600,
    due: float = 0.3,
    limit: float = 10.0,
    pause: float = 0.25,
) -> placements.Demand:
    """Returns the demand of a request; times in seconds from `NOW`."""
    return placements.Demand(
        pass_model.PromptSize(units.Tokens(prompt), units.Tokens(answer)),
        units.Instant(NOW + due),
        units.Instant(NOW + limit),
        units.Seconds(pause),
        ZONE,
        units.Bytes(1_000),
    )
