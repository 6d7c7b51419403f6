"""Measurements of the cost per unit, the basis of docs/CAPACITY.md."""

__all__: list[str] = []
