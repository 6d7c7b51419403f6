"""Measurements of single costs, each a module that is run by hand."""

__all__: list[str] = []
