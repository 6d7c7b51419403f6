"""Stand-ins for development and tests; no part of the two binaries."""

__all__: list[str] = []
