"""Runs one gateway in this process until it is stopped."""

import signal
import socket
from collections.abc import Callable
from typing import Any

import logbook

from egretrock_node.gateway._gateway import Gateway
from egretrock_node.gateway._ports import Platform
from egretrock_node.gateway._settings import GatewaySettings, SettingsError
from egretrock_node.lifecycle import DrainOutcome
from egretrock_node.observability import LogBudget, bounded_log_handler

_log = logbook.Logger("egretrock.gateway")


class _Process:
    """Connects signals and the end of the node to the reactor."""

    def __init__(
        self,
        reactor: Any,
        load: Callable[[], GatewaySettings],
        platform: Platform,
        caller_socket: socket.socket | None,
        began_s: float | None,
    ) -> None:
        self._reactor = reactor
        self._load = load
        self._gateway = Gateway(
            reactor,
            load(),
            platform,
            self._on_end,
            caller_socket=caller_socket,
            began_s=began_s,
        )
        self.exit_code = 0

    def run(self) -> int:
        with self._gateway:
            for number in (signal.SIGTERM, signal.SIGINT):
                signal.signal(number, self._on_stop_signal)
            signal.signal(signal.SIGHUP, self._on_reload_signal)
            # Own handlers stand, so the reactor must not install its own.
            self._reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _on_stop_signal(self, number: int, frame: Any) -> None:
        del number, frame
        self._reactor.callFromThread(self._stop)

    def _on_reload_signal(self, number: int, frame: Any) -> None:
        del number, frame
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        try:
            settings = self._load()
        except SettingsError as error:
            _log.warning("settings kept", extra={"reason": str(error)})
            return
        self._gateway.reload(settings)

    def _stop(self) -> None:
        if self._gateway.draining.is_draining:
            self._gateway.stop_now()
        else:
            self._gateway.start_drain()

    def _on_end(self, outcome: DrainOutcome) -> None:
        self.exit_code = outcome.exit_code
        _log.info("stopped", extra={"requests_cut": len(outcome.cut)})
        self._reactor.stop()


def run_gateway(
    reactor: Any,
    load: Callable[[], GatewaySettings],
    make_platform: Callable[[], Platform],
    caller_socket: socket.socket | None = None,
    began_s: float | None = None,
) -> int:
    """Runs a gateway until a planned stop is complete.

    Args:
        reactor: Twisted reactor, not running yet.
        load: Reads the settings, at the start and on SIGHUP.
        make_platform: Returns the adapters of the platform.
        caller_socket: Socket that listens at the callers' address already.
        began_s: When the process began, in seconds since boot.

    Returns:
        Exit code: 0 after a graceful stop, 1 if requests were cut off.

    Raises:
        SettingsError: If the settings cannot be read.
        twisted.internet.error.CannotListenError: If an address is taken.
    """
    with bounded_log_handler(LogBudget()).applicationbound():
        platform = make_platform()
        process = _Process(reactor, load, platform, caller_socket, began_s)
        return process.run()
