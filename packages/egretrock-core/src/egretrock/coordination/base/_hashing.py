"""Placement by hashing: key partitions and rendezvous hashing.

Source of rendezvous hashing: Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

import xxhash

from egretrock.state.ids import NodeId

#: Key partitions (parts of the key space); a bit mask of them fits 64 bits.
PARTITION_COUNT = 64


def partition_of(kind: str, name: str) -> int:
    """Returns the key partition of a name, from 0 to ``PARTITION_COUNT`` - 1.

    Args:
        kind: Kind of the name; equal names of two kinds are placed
            independently.
        name: The name.

    Example:
        >>> 0 <= partition_of("service", "records") < PARTITION_COUNT
        True
    """
    return placement_weight(kind, name) % PARTITION_COUNT


def rendezvous_node(key: str, nodes: Iterable[NodeId]) -> NodeId | None:
    """Returns the node with the highest weight for ``key``.

    Returns:
        The node, or None if ``nodes`` is empty. The order of ``nodes``
        does not matter.

    Example:
        >>> rendezvous_node("a", []) is None
        True
    """
    return max(
        nodes,
        key=lambda node: (placement_weight(key, node), node),
        default=None,
    )


def placement_weight(first: str, second: str) -> int:
    """Returns a uniformly distributed 64-bit hash of two strings."""
    return xxhash.xxh3_64_intdigest(f"{first}\0{second}".encode())
