"""Share of one node in the connections that a target accepts."""

#: Share of the accepted connections that idle ones may take. The rest is for
#: those in use, and for nodes that are not known yet.
_IDLE_RATIO = 0.8


def idle_connection_share(max_connections: int, node_count: int) -> int:
    """Returns how many idle connections a node may keep to a target.

    The idle connections of all nodes stay within the bound as long as there
    are not more nodes than connections. A larger fleet keeps one each, and
    only the nodes whose subset has the target use it.

    Args:
        max_connections: Connections that the target accepts from all nodes.
        node_count: Nodes of the fleet, > 0.

    Returns:
        A number of connections, at least 1.

    Example:
        >>> idle_connection_share(260, 19), idle_connection_share(260, 312)
        (10, 1)
    """
    return max(1, int(_IDLE_RATIO * max_connections / node_count))
