"""The process of one node: signal handlers and exit code."""

import functools
import signal
from collections.abc import Callable, Mapping
from typing import Any

import logbook

from egretrock_node.lifecycle import DrainOutcome
from egretrock_node.wiring._node import NodeService


class NodeProcess:
    """Runs the reactor for one node and stops the node on signals.

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
        """Runs the node until its drain is complete; returns the exit code.

        Args:
            node: The node, created with this object's ``on_stopped``.
            on_signals: Handlers of signals other than SIGTERM and SIGINT.
        """

        def stop() -> None:
            if node.draining.is_draining:
                node.stop_now()
            else:
                node.start_drain()

        node.errors.observe_twisted()
        handlers = {signal.SIGTERM: stop, signal.SIGINT: stop}
        handlers.update(on_signals or {})
        with node:
            for signal_number, handler in handlers.items():
                signal.signal(
                    signal_number,
                    functools.partial(self._run_in_reactor, handler),
                )
            # The reactor must not replace these handlers with its own.
            self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def on_stopped(self, outcome: DrainOutcome) -> None:
        """Stops the reactor after a drain."""
        self._exit_code = outcome.exit_code
        self._log.info(
            "stopped", extra={"requests_cut": len(outcome.aborted_requests)}
        )
        self._reactor.stop()

    def _run_in_reactor(
        self, handler: Callable[[], None], signal_number: int, frame: Any
    ) -> None:
        del signal_number, frame
        self._reactor.callFromThread(handler)
