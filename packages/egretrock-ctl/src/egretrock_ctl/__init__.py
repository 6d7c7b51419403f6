"""The operator's tool ``egretrockctl``."""

__all__: list[str] = []
