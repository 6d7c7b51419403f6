"""The request pipeline: from the head of a request to its answer."""

from egretrock_node.protocol.requests._exchange import Exchange
from egretrock_node.protocol.requests._pipeline import RequestPipeline
from egretrock_node.protocol.requests._ports import (
    CallerPort,
    Environment,
    FleetPort,
    IdempotencyPort,
    Parts,
    PermitPort,
    PipelineSettings,
    PoolObserver,
    QuarantinePort,
    QueuePort,
    RatePort,
    RetryPort,
    TargetPort,
    TryHandle,
    TryListener,
)
from egretrock_node.protocol.requests._values import (
    NO_ORGANISATION,
    BeginOutcome,
    BeginResult,
    InFlight,
    OutgoingRequest,
    RecordKey,
    Stage,
    TryFailure,
)

__all__ = [
    "NO_ORGANISATION",
    "BeginOutcome",
    "BeginResult",
    "CallerPort",
    "Environment",
    "Exchange",
    "FleetPort",
    "IdempotencyPort",
    "InFlight",
    "OutgoingRequest",
    "Parts",
    "PermitPort",
    "PipelineSettings",
    "PoolObserver",
    "QuarantinePort",
    "QueuePort",
    "RatePort",
    "RecordKey",
    "RequestPipeline",
    "RetryPort",
    "Stage",
    "TargetPort",
    "TryFailure",
    "TryHandle",
    "TryListener",
]
