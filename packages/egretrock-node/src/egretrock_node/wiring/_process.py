"""The process around one node: its signals and its end."""

import functools
import signal
from collections.abc import Callable, Mapping
from typing import Any

import logbook

from egretrock_node.lifecycle import DrainOutcome
from egretrock_node.wiring._node import NodeService


class NodeProcess:
    """Connects signals and the end of a node to the reactor.

    Args:
        reactor: Twisted reactor, not running yet.
        log: Logger of the node.
    """

    def __init__(self, reactor: Any, log: logbook.Logger) -> None:
        self._reactor = reactor
        self._log = log
        self._exit_code = 0

    def run(
        self,
        node: NodeService,
        on_signals: Mapping[signal.Signals, Callable[[], None]] | None = None,
    ) -> int:
        """Serves until the node has ended; returns the exit code.

        Args:
            node: The node; its ``on_end`` is this object's.
            on_signals: What to call on signals other than those that stop.
        """

        def stop() -> None:
            if node.draining.is_draining:
                node.stop_now()
            else:
                node.start_drain()

        calls = {signal.SIGTERM: stop, signal.SIGINT: stop}
        calls.update(on_signals or {})
        with node:
            for number, call in calls.items():
                signal.signal(number, functools.partial(self._pass_on, call))
            # Own handlers stand, so the reactor must not install its own.
            self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def on_end(self, outcome: DrainOutcome) -> None:
        """Ends the process after a planned stop."""
        self._exit_code = outcome.exit_code
        self._log.info("stopped", extra={"requests_cut": len(outcome.cut)})
        self._reactor.stop()

    def _pass_on(
        self, call: Callable[[], None], number: int, frame: Any
    ) -> None:
        del number, frame
        self._reactor.callFromThread(call)
