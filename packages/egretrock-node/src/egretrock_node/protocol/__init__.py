"""Protocol layer: typed messages to requests and replies, without sockets."""

__all__: list[str] = []
