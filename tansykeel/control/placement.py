"""The order in which a gateway asks the control nodes of its region for a session: weighted rendezvous hashing.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998), with the logarithmic weights of
Schindelhauer and Schomaker, "Weighted Distributed Hash Tables" (2005). Every gateway computes the order itself.
When a node fails, its gateways spread over the other nodes, and no gateway of another node moves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

import xxhash

HASH_BITS = 64


def placement_order(gateway: str, nodes: Sequence[str], weights: Mapping[str, float] | None = None) -> tuple[str, ...]:
    """Return the nodes in the order in which the gateway asks them; a node without a weight has weight 1."""
    weight_of = weights or {}
    return tuple(sorted(nodes, key=lambda node: (-_score(gateway, node, weight_of.get(node, 1.0)), node)))


def _score(gateway: str, node: str, weight: float) -> float:
    """Return the score of a node for a gateway: weight / -ln(u), with u drawn uniformly by the hash of both names."""
    digest = xxhash.xxh64_intdigest(f"{gateway}\n{node}".encode())
    uniform = (digest + 0.5) / (1 << HASH_BITS)  # between 0 and 1, both excluded
    return weight / -math.log(uniform)
