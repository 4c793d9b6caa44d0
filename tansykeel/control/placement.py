"""Which control nodes of its region a gateway asks for a session, and in which order: weighted rendezvous hashing.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998), with the logarithmic weights of
Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (2005). Every gateway works the order out for itself.
When a node is lost its gateways spread over the others, and no gateway of another node moves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import xxhash

HASH_BITS = 64


def placement_order(gateway: str, nodes: Sequence[str], weights: Mapping[str, float] | None = None) -> tuple[str, ...]:
    """Return the nodes in the order in which a gateway asks them; a node without a weight has the weight 1."""
    weight_of = weights or {}
    return tuple(sorted(nodes, key=lambda node: (-_score(gateway, node, weight_of.get(node, 1.0)), node)))


def _score(gateway: str, node: str, weight: float) -> float:
    """Return how well a node suits a gateway: exponentially distributed, with the weight as its mean's inverse."""
    digest = xxhash.xxh64_intdigest(f"{gateway}\n{node}".encode())
    uniform = (digest + 0.5) / (1 << HASH_BITS)  # within 0 and 1, neither of them
    return weight / -math.log(uniform)
