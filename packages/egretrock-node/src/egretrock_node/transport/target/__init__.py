"""Persistent HTTP/1.1 connections to targets."""

from egretrock_node.transport.target._connection import TargetConnection
from egretrock_node.transport.target._fetch import FetchedAnswer, FetchError
from egretrock_node.transport.target._pool import TargetPool, TargetPoolSettings

__all__ = [
    "FetchError",
    "FetchedAnswer",
    "TargetConnection",
    "TargetPool",
    "TargetPoolSettings",
]
