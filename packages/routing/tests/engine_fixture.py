"""Engines and requests for tests of latency prediction and selection."""

from __future__ import annotations

import dataclasses

from lavendershed.core import forwarding_states
from lavendershed.standin import engine_samples

ZONE = engine_samples.ZONE
NOW = engine_samples.NOW
PROFILE = engine_samples.PROFILE
PREFILL = forwarding_states.InferencePhase.PREFILL
DECODE = forwarding_states.InferencePhase.DECODE

engine = engine_samples.engine
demand = engine_samples.demand


def task(server, phase=DECODE, request=1, **changes):
    """Returns the task of a short request that decodes for one more second."""
    sample = engine_samples.decoding_task(server, request)
    return dataclasses.replace(sample, phase=phase, **changes)
