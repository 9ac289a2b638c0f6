"""Tests the lookup of routes, services and organisations."""

from __future__ import annotations

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from lavendershed.core import ids
from lavendershed.core import units
from lavendershed.routes import model
from lavendershed.routes import table


def route(prefix, *services, host="h"):
    """Returns a route with weighted services."""
    return model.Route(
        prefix,
        host,
        prefix,
        model.RequestKind.SAFE,
        False,
        False,
        units.Seconds(1.0),
        units.Seconds(0.3),
        None,
        1,
        tuple(
            model.WeightedService(ids.ServiceId(s), weight)
            for s, weight in services
        ),
        1,
    )


def configuration(*routes, organisations=None):
    """Returns a configuration with these routes."""
    limits = model.CallerLimits(
        units.Bytes(1), units.Bytes(1), units.Seconds(1), units.Seconds(1)
    )
    return model.RoutingConfiguration(
        ids.Epoch(1), routes, (), organisations, limits
    )


class CountingPath(str):
    """Counts the characters that are copied out of it."""

    __slots__ = ("copied",)

    def __getitem__(self, key):
        """Returns a part, and counts its characters."""
        part = super().__getitem__(key)
        self.copied = getattr(self, "copied", 0) + len(part)
        return part


class RouteTableTest(unittest.TestCase):
    """Fails if a request is matched to the wrong route."""

    def setUp(self):
        self.table = table.RouteTable(
            configuration(
                route("/a/"), route("/a/b/"), route("/a/", host="other")
            )
        )

    def test_the_cost_of_a_path_does_not_grow_with_its_square(self):
        """Guards against paths of slashes that hold up the process."""
        path = CountingPath("/" * 16_000)
        self.assertIsNone(self.table.route("h", path))
        self.assertLess(path.copied, 16_000)

    @hypothesis.given(
        strategies.sets(strategies.text("/ab", max_size=5), max_size=8),
        strategies.text("/ab", max_size=8),
    )
    def test_the_longest_prefix_is_found(self, parts, path):
        prefixes = {f"/{part}/" for part in parts}
        routes = table.RouteTable(
            configuration(*(route(prefix) for prefix in prefixes))
        )
        found = routes.route("h", path)
        expected = max(
            (prefix for prefix in prefixes if path.startswith(prefix)),
            key=len,
            default=None,
        )
        self.assertEqual(found and found.name, expected)

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.table.route("h", "/a/b/c").name, "/a/b/")
        self.assertEqual(self.table.route("h", "/a/b").name, "/a/")
        self.assertEqual(self.table.route("h", "/a/bc/d").name, "/a/")

    def test_a_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.table.route("h", "/ab/c"))
        self.assertIsNone(self.table.route("h", "/a"))

    def test_hosts_have_separate_routes(self):
        self.assertEqual(self.table.route("other", "/a/b/c").name, "/a/")
        self.assertIsNone(self.table.route("third", "/a/b/c"))

    def test_a_path_without_a_slash_has_no_route(self):
        self.assertIsNone(self.table.route("h", "*"))
        self.assertIsNone(self.table.route("h", ""))

    def test_keys_are_required_only_with_organisations(self):
        self.assertFalse(self.table.keys_required)
        owner = model.Organisation(ids.OrganisationId("o"), ("k",), 2)
        known = table.RouteTable(configuration(organisations=(owner,)))
        self.assertTrue(known.keys_required)
        self.assertEqual(known.organisation("k"), owner)
        self.assertIsNone(known.organisation("other"))


class PickWeightedServiceTest(unittest.TestCase):
    """Fails if services are not selected by weight."""

    def test_services_are_selected_by_weight(self):
        picked = collections.Counter(
            table.pick_weighted_service(
                route("/", ("a", 90), ("b", 10)), generator
            )
            for generator in [random.Random(7)]
            for _ in range(1_000)
        )
        self.assertAlmostEqual(picked["b"] / 1_000, 0.1, delta=0.03)

    def test_a_service_without_weight_gets_no_requests(self):
        services = route("/", ("a", 1), ("b", 0))
        generator = random.Random(7)
        picked = {
            table.pick_weighted_service(services, generator) for _ in range(50)
        }
        self.assertEqual(picked, {"a"})

    def test_no_service_if_all_weights_are_zero(self):
        generator = random.Random(7)
        self.assertIsNone(
            table.pick_weighted_service(route("/", ("a", 0)), generator)
        )


if __name__ == "__main__":
    unittest.main()
