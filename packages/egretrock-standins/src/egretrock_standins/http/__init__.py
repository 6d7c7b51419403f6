"""Shared parts of the stand-in servers: addresses, control endpoints."""

from egretrock_standins.http._server import (
    ControlError,
    ControlResource,
    listen,
    parse_address,
    reply,
    run_process,
)

__all__ = [
    "ControlError",
    "ControlResource",
    "listen",
    "parse_address",
    "reply",
    "run_process",
]
