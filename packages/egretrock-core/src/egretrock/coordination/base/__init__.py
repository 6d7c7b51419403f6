"""Shared by all coordination parts: messages, hashing, counters, timers."""

from egretrock.coordination.base._buckets import TokenBucket
from egretrock.coordination.base._delays import ClockStamp, MessageDelays
from egretrock.coordination.base._errors import (
    ErrorHandler,
    isolated,
    raise_error,
)
from egretrock.coordination.base._hashing import (
    PARTITION_COUNT,
    partition_of,
    placement_weight,
    rendezvous_node,
)
from egretrock.coordination.base._pacing import PacedQueue, PacingSettings
from egretrock.coordination.base._packing import (
    UnpackError,
    pack_value,
    unpack_value,
)
from egretrock.coordination.base._parts import (
    Counters,
    DelayProbe,
    Message,
    MessageHandler,
    NullCounters,
    Outbound,
    Part,
    Peer,
    ignore_message,
)
from egretrock.coordination.base._timers import PeriodicTimer, TimerService

__all__ = [
    "PARTITION_COUNT",
    "ClockStamp",
    "Counters",
    "DelayProbe",
    "ErrorHandler",
    "Message",
    "MessageDelays",
    "MessageHandler",
    "NullCounters",
    "Outbound",
    "PacedQueue",
    "PacingSettings",
    "Part",
    "Peer",
    "PeriodicTimer",
    "TimerService",
    "TokenBucket",
    "UnpackError",
    "ignore_message",
    "isolated",
    "pack_value",
    "partition_of",
    "placement_weight",
    "raise_error",
    "rendezvous_node",
    "unpack_value",
]
