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
from lavendershed.routing import prefix_index
from lavendershed.standin import engine_model

ENGINE = engine_model.EngineSettings()
# Prompt tokens per second of an engine whose steps also decode: a full chunk
# plus the fixed part of a decode step.
MIXED_RATE = ENGINE.prefill_chunk / (
    ENGINE.prefill_chunk / ENGINE.prefill_rate + ENGINE.decode_base
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Shape of one deployment.

    Attributes:
        zone_delay: One-way delay between availability zones.
        client_delay: One-way delay between callers and daemons.
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
DEPLOYMENTS = {shape.name: shape for shape in (ALMANAC, GUILD)}


@dataclasses.dataclass(frozen=True, slots=True)
class ClassShape:
    """Prompts of one length range.

    Attributes:
        share: Part of all requests.
        shortest: Fewest prompt tokens; lengths are log-uniform.
        longest: Most prompt tokens.
        answer: Fewest and most answer tokens.
        timeout: Time from arrival to the deadline.
        repeated: Part of the requests that begin with a document of their
            organisation.
        documents: Documents per organisation.
        prefix_share: Part of the prompt that the document makes up.
    """

    share: float
    shortest: int
    longest: int
    answer: tuple[int, int]
    timeout: units.Seconds
    repeated: float
    documents: int
    prefix_share: float


# One prompt in fifty is above 100,000 tokens.
CLASSES = (
    ClassShape(0.78, 1_000, 8_000, (40, 200), units.Seconds(30.0), 0.5, 4, 0.3),
    ClassShape(
        0.20, 8_001, 100_000, (100, 400), units.Seconds(120.0), 0.4, 4, 0.5
    ),
    ClassShape(
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
    at: units.Instant
    organisation: ids.OrganisationId
    prompt_tokens: units.Tokens
    max_tokens: units.Tokens
    timeout: units.Seconds
    block_hashes: tuple[int, ...]


def organisation_names(deployment: Deployment) -> list[ids.OrganisationId]:
    """Returns the organisations of a deployment."""
    return [
        ids.OrganisationId(f"organisation-{n}")
        for n in range(deployment.organisations)
    ]


def served_tokens() -> float:
    """Returns the mean prompt tokens per request of those that fit."""
    mean = 0.0
    for shape in CLASSES:
        longest = min(shape.longest, ENGINE.kv_tokens)
        mean += (
            shape.share
            * (longest - shape.shortest)
            / math.log(shape.longest / shape.shortest)
        )
    return mean


def trace(
    deployment: Deployment, load: float, duration: units.Seconds, seed: int
) -> list[Arrival]:
    """Returns open-loop Poisson arrivals.

    The load is the prompt tokens offered as a part of what the engines prefill
    while they decode. Oversized prompts are not part of it; cached prefixes
    are, as if they had to be prefilled.
    """
    generator = random.Random(f"{deployment.name}/{seed}")
    rate = load * deployment.engines * MIXED_RATE / served_tokens()
    names = organisation_names(deployment)
    # Few and uneven: the first organisation sends about a third.
    weights = [1.0 / (n + 1) for n in range(len(names))]
    blocks = itertools.count(1)
    documents: dict[tuple[ids.OrganisationId, int, int], list[int]] = {}
    arrivals: list[Arrival] = []
    at = 0.0
    while True:
        at += generator.expovariate(rate)
        if at > duration:
            return arrivals
        organisation = generator.choices(names, weights)[0]
        place = generator.choices(
            range(len(CLASSES)), [shape.share for shape in CLASSES]
        )[0]
        shape = CLASSES[place]
        tokens = int(
            math.exp(
                generator.uniform(
                    math.log(shape.shortest), math.log(shape.longest)
                )
            )
        )
        count = tokens // prefix_index.BLOCK_TOKENS
        hashes: list[int] = []
        if generator.random() < shape.repeated:
            number = generator.randrange(shape.documents)
            document = documents.setdefault((organisation, place, number), [])
            wanted = int(count * shape.prefix_share)
            while len(document) < wanted:
                document.append(next(blocks))
            hashes = document[:wanted]
        hashes = hashes + [next(blocks) for _ in range(count - len(hashes))]
        arrivals.append(
            Arrival(
                len(arrivals),
                units.Instant(at),
                organisation,
                units.Tokens(tokens),
                units.Tokens(generator.randint(*shape.answer)),
                shape.timeout,
                tuple(hashes),
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
