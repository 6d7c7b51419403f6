"""Idempotency keys: a key runs at most once within a window.

In this package an attempt is one request of a caller with a key.

The holder of a key's partition keeps the records. A holder that may lack
records refuses keyed requests until the window of every key that it may have
missed is over.
"""

import importlib
from typing import TYPE_CHECKING, Any

from egretrock.coordination.idempotency._messages import (
    Answer,
    Begin,
    BeginOutcome,
    BeginResult,
    Complete,
    CompleteAck,
    Offer,
    Ready,
    RecordEntry,
    Records,
    RecordsAck,
)
from egretrock.coordination.idempotency._records import RecordKey, record_key

if TYPE_CHECKING:
    from egretrock.coordination.idempotency._client import IdempotencyClient
    from egretrock.coordination.idempotency._home import IdempotencyHome
    from egretrock.coordination.idempotency._settings import (
        IdempotencySettings,
    )
    from egretrock.coordination.idempotency._view import PartitionView

#: Modules of the names that only a node with records uses. They are imported on
#: first use, so that a gateway, which keeps no records, starts sooner.
_MODULES = {
    "IdempotencyClient": "_client",
    "IdempotencyHome": "_home",
    "IdempotencySettings": "_settings",
    "PartitionView": "_view",
}

#: Messages that ``IdempotencyHome`` handles.
IDEMPOTENCY_HOME_MESSAGES = (Begin, Complete, Offer, Ready, Records, RecordsAck)
#: Messages that ``IdempotencyClient`` handles.
IDEMPOTENCY_CLIENT_MESSAGES = (Answer, CompleteAck)

__all__ = [
    "IDEMPOTENCY_CLIENT_MESSAGES",
    "IDEMPOTENCY_HOME_MESSAGES",
    "Answer",
    "Begin",
    "BeginOutcome",
    "BeginResult",
    "Complete",
    "CompleteAck",
    "IdempotencyClient",
    "IdempotencyHome",
    "IdempotencySettings",
    "Offer",
    "PartitionView",
    "Ready",
    "RecordEntry",
    "RecordKey",
    "Records",
    "RecordsAck",
    "record_key",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
