"""Sample engines, tasks and demands for tests and timing of engine choice."""

from __future__ import annotations

from lavendershed.core import addresses
from lavendershed.core import forwarding_states
from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.membership import server_directory
from lavendershed.routes import engine_profile
from lavendershed.routing import latency_model
from lavendershed.routing import load_tracker
from lavendershed.routing import placements

ZONE = ids.AvailabilityZoneId("a")
NOW = units.Instant(100.0)
# Parameters of the engines in the first deployment.
PROFILE = engine_profile.EngineProfile(
    slots=8,
    kv_capacity=units.Tokens(315_000),
    steps_per_iteration=51,
    step_ms=0.85,
    step_ms_per_sequence=0.0085,
    step_ms_per_1k_context=0.00285,
    prefill_tokens_per_ms=177.0,
    attention_ms_per_1m_pairs=0.184,
    prefill_chunk_tokens=2_048,
    mean_output_tokens=units.Tokens(1_600),
    parallel_step_overhead_ms=0.05,
)


def engine(
    name: str, zone: ids.AvailabilityZoneId = ZONE
) -> server_directory.ServerEntry:
    """Returns the directory entry of a ready engine."""
    return server_directory.ServerEntry(
        ids.BackendServerId(name),
        ids.Incarnation(1),
        ids.ServiceId("model"),
        addresses.Address("10.0.0.1", 80),
        zone,
        forwarding_states.ServerState.READY,
    )


def decoding_task(server: str, request: int = 1) -> load_tracker.EngineTask:
    """Returns a short request whose decoding ends in one second."""
    return load_tracker.EngineTask(
        request=request,
        server=ids.BackendServerId(server),
        phase=forwarding_states.InferencePhase.DECODE,
        prefill_ms=30.0,
        first_token_at=units.Instant(NOW + 0.05),
        completes_at=units.Instant(NOW + 1.0),
        kv_tokens=7_000,
        context_tokens=5_000,
        target_inter_token_latency=units.Seconds(0.25),
        first_token_due_at=units.Instant(NOW + 0.3),
        utility=1.3,
    )


def demand(
    prompt_tokens: int,
    output_tokens: int = 1_600,
    first_token_after: float = 0.3,
    time_limit: float = 10.0,
    inter_token_latency: float = 0.25,
) -> placements.Demand:
    """Returns a demand; deadlines are in seconds from `NOW`."""
    return placements.Demand(
        latency_model.RequestSize(
            units.Tokens(prompt_tokens), units.Tokens(output_tokens)
        ),
        units.Instant(NOW + first_token_after),
        units.Instant(NOW + time_limit),
        units.Seconds(inter_token_latency),
        ZONE,
        units.Bytes(1_000),
    )
