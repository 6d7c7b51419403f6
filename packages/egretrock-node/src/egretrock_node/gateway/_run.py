"""Runs a gateway in this process until it is stopped."""

import signal
import socket
from collections.abc import Callable
from typing import Any

import logbook

from egretrock_node.gateway._gateway import Gateway
from egretrock_node.gateway._ports import Platform
from egretrock_node.gateway._settings import GatewaySettings, SettingsError
from egretrock_node.gateway._watch import CHECK_PERIOD_S, SettingsWatch
from egretrock_node.observability import LogBudget, bounded_log_handler
from egretrock_node.wiring import NodeProcess

_log = logbook.Logger("egretrock.gateway")


def run_gateway(
    reactor: Any,
    load_settings: Callable[[], GatewaySettings],
    make_platform: Callable[[], Platform],
    caller_socket: socket.socket | None = None,
    process_start_s: float | None = None,
    settings_version: Callable[[], object] | None = None,
) -> int:
    """Runs a gateway until its drain is complete.

    Args:
        reactor: Twisted reactor, not running yet.
        load_settings: Reads the settings, at the start, on SIGHUP and when
            ``settings_version`` returns another value.
        make_platform: Returns the adapters of the platform.
        caller_socket: Socket that already listens on the callers' address,
            or None to open one.
        process_start_s: Start of the process in seconds since boot, or None for
            now.
        settings_version: Returns a value that differs after each change of
            the settings, or None if they change with a signal only.

    Returns:
        Exit code: 0 after a graceful drain, 1 if requests were aborted.

    Raises:
        SettingsError: If the settings cannot be read.
        twisted.internet.error.CannotListenError: If an address is in use.
    """
    with bounded_log_handler(LogBudget()).applicationbound():
        process = NodeProcess(reactor, _log)
        platform = make_platform()
        gateway = Gateway(
            reactor,
            load_settings(),
            platform,
            process.on_stopped,
            caller_socket=caller_socket,
            process_start_s=process_start_s,
        )

        def reload() -> None:
            try:
                settings = load_settings()
            except SettingsError as error:
                _log.warning(
                    "settings not reloaded", extra={"reason": str(error)}
                )
                return
            gateway.reload(settings)

        if settings_version is not None:
            watch = SettingsWatch(settings_version, reload)
            gateway.timers.subscribe(CHECK_PERIOD_S, watch.on_tick)
        return process.run(gateway, {signal.SIGHUP: reload})
