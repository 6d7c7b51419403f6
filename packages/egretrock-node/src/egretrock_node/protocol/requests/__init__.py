"""The request pipeline: from the head of a request to its answer."""

from egretrock_node.protocol.requests._body import MemoryBudget
from egretrock_node.protocol.requests._exchange import Exchange
from egretrock_node.protocol.requests._pipeline import RequestPipeline
from egretrock_node.protocol.requests._ports import (
    AttemptHandle,
    AttemptListener,
    CallerPort,
    CoordinationParts,
    FleetPort,
    IdempotencyPort,
    PermitPort,
    PipelineSettings,
    PoolObserver,
    ProcessServices,
    QuarantinePort,
    QueuePort,
    RatePort,
    RetryPort,
    TargetPort,
)
from egretrock_node.protocol.requests._values import (
    NO_ORGANISATION,
    AttemptFailure,
    OutgoingRequest,
    RequestSnapshot,
    Stage,
)

__all__ = [
    "NO_ORGANISATION",
    "AttemptFailure",
    "AttemptHandle",
    "AttemptListener",
    "CallerPort",
    "CoordinationParts",
    "Exchange",
    "FleetPort",
    "IdempotencyPort",
    "MemoryBudget",
    "OutgoingRequest",
    "PermitPort",
    "PipelineSettings",
    "PoolObserver",
    "ProcessServices",
    "QuarantinePort",
    "QueuePort",
    "RatePort",
    "RequestPipeline",
    "RequestSnapshot",
    "RetryPort",
    "Stage",
    "TargetPort",
]
