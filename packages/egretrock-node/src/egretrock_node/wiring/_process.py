"""The process of one node: signal handlers and exit code."""

import functools
import signal
from collections.abc import Callable, Mapping
from typing import Any

import logbook

from egretrock_node.lifecycle import DrainOutcome
from egretrock_node.protocol.requests import Stage
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
        self._node: NodeService | None = None
        #: Earliest time at which the latest signal may have been sent.
        self._signalled_s: float | None = None

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
        self._node = node

        def interrupt() -> None:
            if node.draining.is_draining:
                node.stop_now()
            else:
                node.start_drain()

        node.errors.observe_twisted()
        # Service managers may repeat SIGTERM; they end the grace period with
        # SIGKILL. Only an operator at a terminal can cut it short.
        handlers = {
            signal.SIGTERM: lambda: node.start_drain(self._signalled_s),
            signal.SIGINT: interrupt,
        }
        handlers.update(on_signals or {})
        for signal_number, handler in handlers.items():
            signal.signal(
                signal_number,
                functools.partial(self._run_in_reactor, handler),
            )
        # Signals that a launcher blocked during the start come in now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
        with node:
            # The reactor must not replace these handlers with its own.
            self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def on_stopped(self, outcome: DrainOutcome) -> None:
        """Stops the reactor after a drain."""
        self._exit_code = outcome.exit_code
        self._reactor.stop()
        requests = outcome.aborted_requests
        answers_cut = sum(r.stage is Stage.ANSWERING for r in requests)
        extra = {
            "requests_cut": len(requests),
            "answers_cut": answers_cut,
            "wait_ended_by": outcome.end.value,
        }
        if self._node is not None:
            callers = self._node.callers
            extra["open_connections"] = callers.connection_count
            extra["unsent_bytes"] = callers.unsent_bytes
        self._log.info("stopped", extra=extra)

    def _run_in_reactor(
        self, handler: Callable[[], None], signal_number: int, frame: Any
    ) -> None:
        del frame
        # A signal that came while the process did not run is noticed only now.
        self._signalled_s = self._node.last_tick_s
        self._reactor.callFromThread(self._run_logged, handler, signal_number)

    def _run_logged(
        self, handler: Callable[[], None], signal_number: int
    ) -> None:
        name = signal.Signals(signal_number).name
        self._log.info("signal", extra={"signal": name})
        handler()
