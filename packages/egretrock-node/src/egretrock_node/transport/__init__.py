"""Transport layer: services that own sockets and read and write bytes."""

__all__: list[str] = []
