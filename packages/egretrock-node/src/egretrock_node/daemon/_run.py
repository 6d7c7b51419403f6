"""Runs one node in this process until it is stopped."""

from typing import Any

import logbook

from egretrock_node.daemon._node import Node, NodeAdapters
from egretrock_node.observability import log_handler
from egretrock_node.settings import Settings
from egretrock_node.wiring import NodeProcess

_log = logbook.Logger("egretrock.node")


def run_node(reactor: Any, settings: Settings) -> int:
    """Runs a node until a planned stop is complete.

    Args:
        reactor: Twisted reactor, not running yet.
        settings: Checked settings.

    Returns:
        Exit code: 0 after a graceful stop, 1 if requests were cut off.

    Raises:
        ImportError: If an adapter does not exist.
        twisted.internet.error.CannotListenError: If an address is taken.
    """
    with log_handler(settings.log).applicationbound():
        process = NodeProcess(reactor, _log)
        adapters = NodeAdapters.load(settings)
        return process.run(Node(reactor, settings, adapters, process.on_end))
