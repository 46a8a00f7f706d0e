"""Rendezvous hashing and content fingerprints."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash


def hash_score(key: str, node: str) -> int:
    """Return the 64-bit weight of ``node`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` by descending weight for ``key`` (rendezvous hashing)."""
    return sorted(nodes, key=lambda node: (-hash_score(key, node), node))


def top_node(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for ``key``, None without nodes."""
    return min(nodes, key=lambda node: (-hash_score(key, node), node), default=None)


def fingerprint(*parts: object) -> str:
    """Return a content hash of JSON-compatible values, independent of dict order."""
    encoded = msgspec.json.encode(parts, order="deterministic")
    return xxhash.xxh3_128_hexdigest(encoded)
