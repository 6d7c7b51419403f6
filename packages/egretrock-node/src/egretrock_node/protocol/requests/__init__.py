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
    InFlight,
    OutgoingRequest,
    Stage,
    TryFailure,
)

__all__ = [
    "NO_ORGANISATION",
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
    "RequestPipeline",
    "RetryPort",
    "Stage",
    "TargetPort",
    "TryFailure",
    "TryHandle",
    "TryListener",
]
