"""Protocol layer: requests and messages as typed values, without sockets."""

__all__: list[str] = []
