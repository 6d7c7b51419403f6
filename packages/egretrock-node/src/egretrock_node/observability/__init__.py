"""Logs and metrics of a node."""

from egretrock_node.observability._logs import JsonFormatter, log_handler
from egretrock_node.observability._metrics import StatsdCounters

__all__ = ["JsonFormatter", "StatsdCounters", "log_handler"]
