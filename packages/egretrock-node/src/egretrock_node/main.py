"""Entry point of the daemon ``egretrock``."""

import pathlib
import sys

import cyclopts
from twisted.internet.error import CannotListenError

from egretrock_node.settings import load_settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_FINDINGS = 2

app = cyclopts.App(
    name="egretrock",
    help="Load balancer node for servers whose load changes in milliseconds.",
    version="0.1.0",
)


@app.command
def run(*, settings: pathlib.Path) -> int:
    """Runs a node until SIGTERM.

    SIGTERM starts a drain, which lets open requests finish; a second SIGTERM
    aborts them. The exit code is 0 if no request was aborted, 1 if one was
    or the node could not start, and 2 if the settings have findings.

    Args:
        settings: YAML file with the settings of the node.
    """
    report = load_settings(settings)
    if report.value is None:
        for finding in report.findings:
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    # Importing the reactor installs it, which would delay --help.
    from twisted.internet import reactor

    from egretrock_node.daemon import run_node

    try:
        return run_node(reactor, report.value)
    except (CannotListenError, ImportError) as error:
        print(f"{settings}: {error}", file=sys.stderr)
        return EXIT_FAILED


def main() -> None:
    """Runs the command line."""
    sys.exit(app(result_action="return_value"))
