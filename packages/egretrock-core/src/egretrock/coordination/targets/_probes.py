"""Schedule of the probes of one service within its budget."""

import enum

import msgspec

from egretrock.coordination.targets._messages import Trust
from egretrock.coordination.targets._record import Health, TargetRecord
from egretrock.state.ids import ServiceId, TargetId

#: A probe must not be sent later than this after it was requested: the process
#: may have been paused, and another node may hold the partition and send probes
#: itself.
REQUEST_VALIDITY_S = 0.2
#: Weight of the time since a target's last probe, by state. The target with the
#: largest product is probed next.
URGENCY = {
    Trust.DOWN: 4.0,
    Trust.DRAINING: 2.0,
    Trust.SUSPECT: 2.0,
    Trust.COLD: 2.0,
    Trust.WARM: 1.0,
}


class ProbeKind(enum.Enum):
    """What the probe requests: ``/health`` or ``/load``."""

    HEALTH = "health"
    LOAD = "load"


class ProbeRequest(msgspec.Struct, frozen=True):
    """One probe for the node to send before ``expires_s``.

    Attributes:
        service: Service.
        target: Target.
        address: ``"ip:port"`` of the target.
        kind: Kind of the probe.
        timeout_s: Longest time to wait for the answer.
        sent_s: Time of the request.
        expires_s: Time from which the probe must not be sent.
        epoch: Epoch of the home.
        outstanding: Permits that may put load on the target at ``sent_s``.
    """

    service: ServiceId
    target: TargetId
    address: str
    kind: ProbeKind
    timeout_s: float
    sent_s: float
    expires_s: float
    epoch: int
    outstanding: int


class ProbeResult(msgspec.Struct, frozen=True):
    """Result of a probe.

    Attributes:
        request: Request for the probe.
        health: The answer, or None if there was no valid one.
        refused: Whether no connection could be made.
    """

    request: ProbeRequest
    health: Health | None = None
    refused: bool = False


class ProbeBudget:
    """Token bucket that starts empty and holds at most one probe.

    It starts empty so that a change of home stays within the budget: the
    predecessor may have spent its last token just before.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._updated_s = now_s

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Takes a token if there is one."""
        refill = (now_s - self._updated_s) * rate_per_s
        self._tokens = min(1.0, self._tokens + max(0.0, refill))
        self._updated_s = now_s
        # Allows for rounding errors, which would delay the probe by a tick.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = 0.0
        return True


def most_urgent(
    records: dict[TargetId, TargetRecord], now_s: float
) -> TargetId | None:
    """Returns the target to probe next, or None if there is none."""
    return max(
        records,
        key=lambda target: (
            (now_s - records[target].last_probe_s)
            * URGENCY[records[target].trust]
        ),
        default=None,
    )
