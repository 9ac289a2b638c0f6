"""Tests the dependency rules of the workspace."""

from __future__ import annotations

import ast
import importlib.util
import pathlib
import re
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ROOT / "packages"
DECISION_LIBRARIES = (
    "admission",
    "core",
    "configuration",
    "routing",
    "reliability",
    "membership",
    "placement",
    "routes",
    "booking",
)
FORBIDDEN_IN_DECISIONS = {
    "asyncio",
    "eliot",
    "h11",
    "http",
    "json",
    "opentelemetry",
    "orjson",
    "os",
    "pydantic",
    "secrets",
    "selectors",
    "socket",
    "struct",
    "threading",
    "thrift",
    "time",
    "uuid",
}
NAME_IMPORTS_ALLOWED = {"typing", "collections.abc", "__future__"}
DISTRIBUTION_OF_MODULE = {
    "opentelemetry": "opentelemetry-sdk",
    "prometheus_client": "prometheus_client",
    "pydantic_settings": "pydantic-settings",
}


def source_files(library: str) -> list[pathlib.Path]:
    """Returns the source files of a library except generated code."""
    root = PACKAGES / library / "src"
    return [path for path in root.rglob("*.py") if "gen" not in path.parts]


def imported_names(path: pathlib.Path) -> list[str]:
    """Returns the full names of the modules that a file imports."""
    names: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            names += [f"{node.module}.{alias.name}" for alias in node.names]
    return names


def declared_dependencies(library: str) -> set[str]:
    """Returns the distributions that a library declares."""
    text = (PACKAGES / library / "pyproject.toml").read_text()
    return {
        re.split(r"[<>=\[;]", name)[0].strip()
        for name in tomllib.loads(text)["project"]["dependencies"]
    }


class BoundaryTest(unittest.TestCase):
    """Guards against imports that violate the layers."""

    def test_libraries_import_only_what_they_declare(self):
        libraries = sorted(p.name for p in PACKAGES.iterdir() if p.is_dir())
        standard_modules = set(__import__("sys").stdlib_module_names)
        for library in libraries:
            allowed = declared_dependencies(library)
            for path in source_files(library):
                for name in imported_names(path):
                    top_level, *rest = name.split(".")
                    if top_level == "lavendershed":
                        required = f"lavendershed-{rest[0]}"
                        needs_no_dependency = rest[0] == library
                    else:
                        required = DISTRIBUTION_OF_MODULE.get(
                            top_level, top_level
                        )
                        needs_no_dependency = top_level in standard_modules
                    with self.subTest(file=path.name, name=name):
                        self.assertTrue(
                            needs_no_dependency or required in allowed
                        )

    def test_decisions_import_no_codec_socket_or_clock(self):
        for library in DECISION_LIBRARIES:
            for path in source_files(library):
                top_level_modules = {
                    name.split(".")[0] for name in imported_names(path)
                }
                with self.subTest(library=library, file=path.name):
                    self.assertFalse(top_level_modules & FORBIDDEN_IN_DECISIONS)

    def test_decisions_use_no_global_random_generator(self):
        pattern = re.compile(r"\brandom\.(?!Random\b)\w+\(")
        for library in DECISION_LIBRARIES:
            for path in source_files(library):
                with self.subTest(library=library, file=path.name):
                    self.assertIsNone(pattern.search(path.read_text()))

    def test_modules_are_imported_not_names(self):
        paths = [
            p for package in PACKAGES.iterdir() for p in package.rglob("*.py")
        ]
        for path in paths:
            if "gen" in path.parts:
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.ImportFrom) or not node.module:
                    continue
                if node.module in NAME_IMPORTS_ALLOWED:
                    continue
                for alias in node.names:
                    name = f"{node.module}.{alias.name}"
                    with self.subTest(file=path.name, name=name):
                        self.assertIsNotNone(importlib.util.find_spec(name))


if __name__ == "__main__":
    unittest.main()
