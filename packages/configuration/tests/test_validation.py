"""Tests the validation of configurations."""

from __future__ import annotations

import dataclasses
import math
import unittest

import sample

from lavendershed.configuration import model
from lavendershed.configuration import validation
from lavendershed.core import ids
from lavendershed.core import states
from lavendershed.core import units

VALID = sample.configuration()
DRAFTING = VALID.services["drafting"]
SERVER = DRAFTING.backend_servers[0]


def with_service(**fields):
    """Returns the valid configuration with a changed service."""
    changed = dataclasses.replace(DRAFTING, **fields)
    return dataclasses.replace(VALID, services={"drafting": changed})


def with_server(**fields):
    """Returns the valid configuration with a changed backend server."""
    return with_service(
        backend_servers=(dataclasses.replace(SERVER, **fields),)
    )


def with_organisation(**fields):
    """Returns the valid configuration with a changed organisation."""
    entity = dataclasses.replace(sample.organisation(0), **fields)
    return dataclasses.replace(VALID, organisations={entity.name: entity})


def with_preset(**fields):
    """Returns the valid configuration with a changed preset."""
    entity = model.Preset(sample.ORDINARY, **fields)
    return dataclasses.replace(VALID, presets={entity.name: entity})


def plan(*roles, service="drafting", models=()):
    """Returns the plans of a preset with one plan."""
    return (model.ServicePlan(ids.ServiceId(service), roles, models),)


PREFILL = states.EngineRole.PREFILL
CASES = {
    "host name": (
        with_server(address="engine.example:80"),
        "services[drafting].backend_servers[drafting-1].address",
    ),
    "no port": (
        with_server(address="10.0.0.1"),
        "services[drafting].backend_servers[drafting-1].address",
    ),
    "port 0": (
        with_server(address="10.0.0.1:0"),
        "services[drafting].backend_servers[drafting-1].address",
    ),
    "server twice": (
        with_service(backend_servers=(SERVER, SERVER)),
        "services[drafting].backend_servers[drafting-1].name",
    ),
    "address twice": (
        with_service(
            backend_servers=(SERVER, dataclasses.replace(SERVER, name="b"))
        ),
        "services[drafting].backend_servers[b].address",
    ),
    "zone": (
        with_server(availability_zone=""),
        "services[drafting].backend_servers[drafting-1].availability_zone",
    ),
    "routes of engines": (
        with_service(routes=(model.Route("a", True),)),
        "services[drafting].routes",
    ),
    "timeouts": (
        with_service(default_timeout=units.Seconds(4_000.0)),
        "services[drafting].default_timeout",
    ),
    "memory": (
        with_service(engine_memory_tokens=0),
        "services[drafting].engine_memory_tokens",
    ),
    "weight": (with_organisation(weight=0.0), "organisations[org-0].weight"),
    "not a number": (
        with_organisation(weight=math.nan),
        "organisations[org-0].weight",
    ),
    "infinite": (
        with_organisation(requests_per_second=math.inf),
        "organisations[org-0].requests_per_second",
    ),
    "token in clear": (
        with_organisation(token_hashes=("secret",)),
        "organisations[org-0].token_hashes[0]",
    ),
    "name": (
        with_organisation(name="../x"),
        "organisations[../x].name",
    ),
    "active preset": (
        dataclasses.replace(VALID, active_preset="holiday"),
        "active_preset",
    ),
    "share above 1": (
        with_preset(long_prefill_share=1.5),
        "presets[ordinary].long_prefill_share",
    ),
    "queue": (with_preset(max_queue=0), "presets[ordinary].max_queue"),
    "role shares": (
        with_preset(
            service_plans=plan(
                model.RoleShare(PREFILL, 0.6),
                model.RoleShare(states.EngineRole.DECODE, 0.5),
            )
        ),
        "presets[ordinary].service_plans[drafting].roles",
    ),
    "role twice": (
        with_preset(
            service_plans=plan(
                model.RoleShare(PREFILL, 0.1), model.RoleShare(PREFILL, 0.1)
            )
        ),
        "presets[ordinary].service_plans[drafting].roles",
    ),
    "model share": (
        with_preset(
            service_plans=plan(
                models=(model.WantedModel(ids.ModelId("m"), share=0.0),)
            )
        ),
        "presets[ordinary].service_plans[drafting].models[m].share",
    ),
    "plan of nothing": (
        with_preset(service_plans=plan(service="absent")),
        "presets[ordinary].service_plans[absent].service",
    ),
    "shared token": (
        dataclasses.replace(
            VALID,
            organisations={
                "a": dataclasses.replace(sample.organisation(0), name="a"),
                "b": dataclasses.replace(sample.organisation(0), name="b"),
            },
        ),
        "organisations[b].token_hashes",
    ),
    "key": (
        dataclasses.replace(VALID, presets={"x": model.Preset("ordinary")}),
        "presets[x].name",
    ),
}


class ValidationTest(unittest.TestCase):
    """Fails if an invalid value is accepted or its error names no field."""

    def test_valid_configuration_has_no_problem(self):
        self.assertEqual(validation.check(VALID), ())

    def test_each_error_names_its_field_and_a_remedy(self):
        for name, (configuration, field) in CASES.items():
            with self.subTest(name):
                problems = validation.check(configuration)
                self.assertIn(field, [p.field for p in problems])
                for problem in problems:
                    self.assertTrue(problem.description and problem.remedy)


if __name__ == "__main__":
    unittest.main()
