"""Coordination layer: the decisions that the nodes make together."""

__all__: list[str] = []
