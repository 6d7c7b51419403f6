"""Formatters and handlers of structured logs, with logbook."""

import sys

import logbook
import msgspec

from egretrock_node.observability._budget import BoundedHandler, LogBudget
from egretrock_node.settings import LogSettings

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name}"
    " {record.channel}: {record.message}{fields}"
)


class JsonFormatter:
    """Formats a record as one JSON object on one line.

    The object has ``time``, ``level``, ``channel``, ``message`` and the fields
    passed to the logger as ``extra``.
    """

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        """Returns the line without a line break."""
        entry = dict(record.extra)
        entry["time"] = f"{record.time.isoformat(timespec='microseconds')}Z"
        entry["level"] = record.level_name.lower()
        entry["channel"] = record.channel
        entry["message"] = record.message
        if record.formatted_exception:
            entry["exception"] = record.formatted_exception
        return msgspec.json.encode(entry, enc_hook=str).decode()


class _TextFormatter:
    """Formats a record as text, with its fields as ``name=value``."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields = "".join(f" {k}={v}" for k, v in record.extra.items())
        line = _TEXT_FORMAT.format(record=record, fields=fields)
        if record.formatted_exception:
            line = f"{line}\n{record.formatted_exception}"
        return line


def bounded_log_handler(budget: LogBudget) -> BoundedHandler:
    """Returns a handler that writes JSON lines to standard output.

    Args:
        budget: Bounds of the volume.
    """
    return BoundedHandler(sys.stdout.fileno(), JsonFormatter(), budget=budget)


def log_handler(settings: LogSettings) -> logbook.Handler:
    """Returns a handler for standard error; the caller must push it.

    Args:
        settings: Level and format.
    """
    level = logbook.lookup_level(settings.level.value.upper())
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = JsonFormatter() if settings.json else _TextFormatter()
    return handler
