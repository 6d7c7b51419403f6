"""Schedule of the probes of one service within its budget."""

import enum

import msgspec

from egretrock.coordination.targets._messages import Trust
from egretrock.coordination.targets._record import Health, TargetRecord
from egretrock.state.ids import ServiceId, TargetId

#: An order that the node has not carried out by then must not be: after a
#: pause another node may hold the partition and probe.
ORDER_VALID_S = 0.2
#: How much sooner a target is probed again, by trust.
URGENCY = {
    Trust.DOWN: 4.0,
    Trust.DRAINING: 2.0,
    Trust.SUSPECT: 2.0,
    Trust.COLD: 2.0,
    Trust.WARM: 1.0,
}


class ProbeKind(enum.Enum):
    """What is asked of the target."""

    HEALTH = "health"
    LOAD = "load"


class ProbeOrder(msgspec.Struct, frozen=True):
    """One probe that the node shall send before ``expires_s``."""

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
        order: The order.
        health: The answer, or None without a valid one.
        refused: Whether no connection could be made.
    """

    order: ProbeOrder
    health: Health | None = None
    refused: bool = False


class ProbeBudget:
    """Token bucket that starts empty and holds at most one probe.

    Starting empty keeps the budget over a change of home: the predecessor
    may have spent its last token just before.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._updated_s = now_s

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Takes a token if there is one."""
        grown = (now_s - self._updated_s) * rate_per_s
        self._tokens = min(1.0, self._tokens + max(0.0, grown))
        self._updated_s = now_s
        # Rounding must not cost a whole tick.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = 0.0
        return True


def most_urgent(
    records: dict[TargetId, TargetRecord], now_s: float
) -> TargetId | None:
    """Returns the target whose probe is most overdue, or None."""
    return max(
        records,
        key=lambda target: (
            (now_s - records[target].probed_s) * URGENCY[records[target].trust]
        ),
        default=None,
    )
