"""Coordination layer: the decisions that the nodes take together."""

__all__: list[str] = []
