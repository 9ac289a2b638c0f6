"""Rendezvous hashing (highest random weight).

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq
from typing import TypeVar

import xxhash

Node = TypeVar("Node", bound=str)


def _weight(node: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def ranked(nodes: Iterable[Node], key: str, count: int) -> list[Node]:
    """Returns the `count` nodes with the highest weight for `key`, best first.

    The result depends only on the nodes and the key, not on the process.
    """
    return heapq.nlargest(count, nodes, key=lambda n: (_weight(n, key), n))


def owner(nodes: Iterable[Node], key: str) -> Node | None:
    """Returns the node with the highest weight, or None without nodes."""
    best = ranked(nodes, key, 1)
    return best[0] if best else None
