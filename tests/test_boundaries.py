"""Guards the structure of the workspace."""

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
DISTRIBUTIONS = {
    "opentelemetry": "opentelemetry-sdk",
    "prometheus_client": "prometheus_client",
    "pydantic_settings": "pydantic-settings",
}


def sources(library: str) -> list[pathlib.Path]:
    """Returns the source files of a library, generated code left out."""
    root = PACKAGES / library / "src"
    return [path for path in root.rglob("*.py") if "gen" not in path.parts]


def imports(path: pathlib.Path) -> list[str]:
    """Returns the full names of the modules that a file imports."""
    found: list[str] = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            found += [f"{node.module}.{alias.name}" for alias in node.names]
    return found


def declared(library: str) -> set[str]:
    """Returns the distributions that a library declares."""
    text = (PACKAGES / library / "pyproject.toml").read_text()
    return {
        re.split(r"[<>=\[;]", name)[0].strip()
        for name in tomllib.loads(text)["project"]["dependencies"]
    }


class BoundaryTest(unittest.TestCase):
    """Guards against imports that break the layers."""

    def test_libraries_import_only_what_they_declare(self):
        libraries = sorted(p.name for p in PACKAGES.iterdir() if p.is_dir())
        standard = set(__import__("sys").stdlib_module_names)
        for library in libraries:
            allowed = declared(library)
            for path in sources(library):
                for name in imports(path):
                    top, *rest = name.split(".")
                    if top == "lavendershed":
                        needed = f"lavendershed-{rest[0]}"
                        own = rest[0] == library
                    else:
                        needed = DISTRIBUTIONS.get(top, top)
                        own = top in standard
                    with self.subTest(file=path.name, name=name):
                        self.assertTrue(own or needed in allowed)

    def test_decisions_import_no_codec_socket_or_clock(self):
        for library in DECISION_LIBRARIES:
            for path in sources(library):
                tops = {name.split(".")[0] for name in imports(path)}
                with self.subTest(library=library, file=path.name):
                    self.assertFalse(tops & FORBIDDEN_IN_DECISIONS)

    def test_decisions_use_no_global_random_generator(self):
        pattern = re.compile(r"\brandom\.(?!Random\b)\w+\(")
        for library in DECISION_LIBRARIES:
            for path in sources(library):
                with self.subTest(library=library, file=path.name):
                    self.assertIsNone(pattern.search(path.read_text()))

    def test_modules_are_imported_not_names(self):
        paths = [p for lib in PACKAGES.iterdir() for p in lib.rglob("*.py")]
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
