"""Logs and metrics of a node."""

from egretrock_node.observability._budget import BoundedHandler, LogBudget
from egretrock_node.observability._errors import ERROR_COUNTER, ErrorLog
from egretrock_node.observability._exposition import metrics_text
from egretrock_node.observability._logs import (
    JsonFormatter,
    bounded_log_handler,
    log_handler,
)
from egretrock_node.observability._metrics import Histogram, StatsdCounters

__all__ = [
    "ERROR_COUNTER",
    "BoundedHandler",
    "ErrorLog",
    "Histogram",
    "JsonFormatter",
    "LogBudget",
    "StatsdCounters",
    "bounded_log_handler",
    "log_handler",
    "metrics_text",
]
