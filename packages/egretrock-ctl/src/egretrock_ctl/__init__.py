"""The operator's command-line tool ``egretrockctl``."""

__all__: list[str] = []
