"""Deployments and request traces of the benchmark."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random

from lavendershed.configuration import model
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units
from lavendershed.routing import prompt_blocks
from lavendershed.standin import engine_timing_model

ENGINE = engine_timing_model.EngineSettings()
# Prompt tokens per second of an engine that also decodes: each step prefills a
# full chunk and also takes the fixed time of a decode step.
MIXED_PREFILL_RATE = ENGINE.prefill_chunk / (
    ENGINE.prefill_chunk / ENGINE.prefill_rate + ENGINE.decode_base
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size and network delays of one deployment.

    Attributes:
        zone_delay: One-way delay between availability zones.
        client_delay: One-way delay between callers and routers.
    """

    name: str
    engines: int
    routers: int
    zone_delay: units.Seconds
    client_delay: units.Seconds
    organisations: int
    preset: model.Preset


ALMANAC = Deployment(
    "almanac",
    20,
    8,
    units.Seconds(0.0015),
    units.Seconds(0.001),
    10,
    model.Preset(ids.PresetName("ordinary"), long_ttft_weight=2.0),
)
GUILD = Deployment(
    "guild",
    15,
    7,
    units.Seconds(0.0005),
    units.Seconds(0.001),
    10,
    model.Preset(ids.PresetName("evening"), short_slowdown_weight=2.0),
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (ALMANAC, GUILD)}


@dataclasses.dataclass(frozen=True, slots=True)
class PromptDistribution:
    """Distribution of the prompts in one length range.

    Attributes:
        share: Share of all requests.
        min_prompt_tokens: Minimum prompt length; lengths are log-uniform.
        max_prompt_tokens: Maximum prompt length.
        output_tokens: Minimum and maximum output length.
        timeout: Time from arrival to the deadline.
        document_share: Share of the requests whose prompt starts with a
            document shared within their organisation.
        documents_per_organisation: Number of documents per organisation.
        prefix_share: Share of the prompt that consists of the document.
    """

    share: float
    min_prompt_tokens: int
    max_prompt_tokens: int
    output_tokens: tuple[int, int]
    timeout: units.Seconds
    document_share: float
    documents_per_organisation: int
    prefix_share: float


# One prompt in fifty exceeds 100,000 tokens.
CLASSES = (
    PromptDistribution(
        0.78, 1_000, 8_000, (40, 200), units.Seconds(30.0), 0.5, 4, 0.3
    ),
    PromptDistribution(
        0.20, 8_001, 100_000, (100, 400), units.Seconds(120.0), 0.4, 4, 0.5
    ),
    PromptDistribution(
        0.02,
        100_001,
        1_000_000,
        (200, 600),
        units.Seconds(600.0),
        0.3,
        2,
        0.5,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace."""

    number: int
    arrived_at: units.Instant
    organisation: ids.OrganisationId
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    timeout: units.Seconds
    block_hashes: tuple[int, ...]


def organisation_names(deployment: Deployment) -> list[ids.OrganisationId]:
    """Returns the ids of the organisations of a deployment."""
    return [
        ids.OrganisationId(f"organisation-{n}")
        for n in range(deployment.organisations)
    ]


def mean_served_prompt_tokens() -> float:
    """Returns the mean prompt tokens per request; oversized count as 0."""
    mean = 0.0
    for distribution in CLASSES:
        max_fitting_tokens = min(
            distribution.max_prompt_tokens, ENGINE.kv_tokens
        )
        mean += (
            distribution.share
            * (max_fitting_tokens - distribution.min_prompt_tokens)
            / math.log(
                distribution.max_prompt_tokens / distribution.min_prompt_tokens
            )
        )
    return mean


def generate_trace(
    deployment: Deployment, load: float, duration: units.Seconds, seed: int
) -> list[Arrival]:
    """Returns a trace with open-loop Poisson arrivals.

    The load is the offered prompt tokens per second, relative to the prefill
    rate of engines that also decode. Oversized prompts are excluded; cached
    prefixes count as if they were prefilled.
    """
    generator = random.Random(f"{deployment.name}/{seed}")
    arrivals_per_second = (
        load
        * deployment.engines
        * MIXED_PREFILL_RATE
        / mean_served_prompt_tokens()
    )
    organisations = organisation_names(deployment)
    # Skewed weights: the first organisation sends about a third.
    weights = [1.0 / (n + 1) for n in range(len(organisations))]
    next_block_hash = itertools.count(1)
    documents: dict[tuple[ids.OrganisationId, int, int], list[int]] = {}
    arrivals: list[Arrival] = []
    arrival_time = 0.0
    while True:
        arrival_time += generator.expovariate(arrivals_per_second)
        if arrival_time > duration:
            return arrivals
        organisation = generator.choices(organisations, weights)[0]
        class_index = generator.choices(
            range(len(CLASSES)),
            [distribution.share for distribution in CLASSES],
        )[0]
        distribution = CLASSES[class_index]
        prompt_tokens = int(
            math.exp(
                generator.uniform(
                    math.log(distribution.min_prompt_tokens),
                    math.log(distribution.max_prompt_tokens),
                )
            )
        )
        block_count = prompt_tokens // prompt_blocks.BLOCK_TOKENS
        block_hashes: list[int] = []
        if generator.random() < distribution.document_share:
            document_number = generator.randrange(
                distribution.documents_per_organisation
            )
            document = documents.setdefault(
                (organisation, class_index, document_number), []
            )
            prefix_blocks = int(block_count * distribution.prefix_share)
            while len(document) < prefix_blocks:
                document.append(next(next_block_hash))
            block_hashes = document[:prefix_blocks]
        block_hashes = block_hashes + [
            next(next_block_hash)
            for _ in range(block_count - len(block_hashes))
        ]
        arrivals.append(
            Arrival(
                len(arrivals),
                units.Instant(arrival_time),
                organisation,
                units.Tokens(prompt_tokens),
                units.Tokens(generator.randint(*distribution.output_tokens)),
                distribution.timeout,
                tuple(block_hashes),
            )
        )


def service(deployment: Deployment) -> model.Service:
    """Returns the model engine service of a deployment."""
    return model.Service(
        ids.ServiceId("prompts"),
        states.ServiceKind.MODEL_ENGINE,
        tuple(
            model.BackendServer(
                ids.BackendServerId(f"engine-{n:05}"),
                f"127.0.0.1:{n + 1}",
                ids.AvailabilityZoneId(f"zone-{n % 3}"),
            )
            for n in range(deployment.engines)
        ),
        engine_memory_tokens=ENGINE.kv_tokens,
        prefill_tokens_per_second=ENGINE.prefill_rate,
    )
