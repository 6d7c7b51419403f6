"""Entry point of ``egretrockctl``."""

from egretrock_ctl._commands import app

__all__ = ["main"]


def main() -> None:
    """Runs the command line."""
    app.meta()
