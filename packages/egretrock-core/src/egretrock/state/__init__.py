"""State layer: published documents and decisions, as data without behaviour."""

__all__: list[str] = []
