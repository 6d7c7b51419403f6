"""The monotonic clock of a node."""

from egretrock_node.transport.clock._clock import boot_time_s

__all__ = ["boot_time_s"]
