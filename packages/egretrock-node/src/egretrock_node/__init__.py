"""The egretrock node daemon."""

__all__: list[str] = []
