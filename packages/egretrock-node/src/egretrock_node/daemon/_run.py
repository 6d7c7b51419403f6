"""Runs a node in the current process."""

from typing import Any

import logbook

from egretrock_node.daemon._node import Node, NodeAdapters
from egretrock_node.observability import log_handler
from egretrock_node.settings import Settings
from egretrock_node.wiring import NodeProcess

_log = logbook.Logger("egretrock.node")


def run_node(reactor: Any, settings: Settings) -> int:
    """Runs a node until a drain is complete.

    Args:
        reactor: Twisted reactor, not running yet.
        settings: Validated settings.

    Returns:
        Exit code: 0 after a complete drain, 1 if requests were aborted.

    Raises:
        ImportError: If an adapter does not exist.
        twisted.internet.error.CannotListenError: If an address is in use.
    """
    with log_handler(settings.log).applicationbound():
        process = NodeProcess(reactor, _log)
        adapters = NodeAdapters.load(settings)
        return process.run(
            Node(reactor, settings, adapters, process.on_stopped)
        )
