"""Idempotency keys: a key runs at most once within a window.

The holder of a key's partition keeps the records. A holder whose memory may
have gaps refuses keyed requests until every key that it may have missed is
out of its window.
"""

from egretrock.coordination.idempotency._client import IdempotencyClient
from egretrock.coordination.idempotency._home import IdempotencyHome
from egretrock.coordination.idempotency._messages import (
    Answer,
    Begin,
    BeginOutcome,
    BeginResult,
    Complete,
    Noted,
    Offer,
    Ready,
    RecordEntry,
    Records,
    RecordsNoted,
)
from egretrock.coordination.idempotency._records import RecordKey, record_key
from egretrock.coordination.idempotency._settings import IdempotencySettings
from egretrock.coordination.idempotency._view import PartitionView

#: Messages that the holder of a partition takes.
HOME_MESSAGES = (Begin, Complete, Offer, Ready, Records, RecordsNoted)
#: Messages that the asking node takes.
CLIENT_MESSAGES = (Answer, Noted)

__all__ = [
    "CLIENT_MESSAGES",
    "HOME_MESSAGES",
    "Answer",
    "Begin",
    "BeginOutcome",
    "BeginResult",
    "Complete",
    "IdempotencyClient",
    "IdempotencyHome",
    "IdempotencySettings",
    "Noted",
    "Offer",
    "PartitionView",
    "Ready",
    "RecordEntry",
    "RecordKey",
    "Records",
    "RecordsNoted",
    "record_key",
]
