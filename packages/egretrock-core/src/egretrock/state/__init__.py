"""State layer: what was decided or published, without behaviour of its own."""

__all__: list[str] = []
