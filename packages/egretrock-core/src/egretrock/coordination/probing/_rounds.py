"""Requests that wait for a target, and the probes sent for them."""

import collections

import msgspec

from egretrock.coordination.probing._readings import Candidate
from egretrock.state.ids import ServiceId, TargetId, TicketId

#: Seconds of the budget of probes that may be saved up.
_SAVED_S = 1.0


class ProbeBudget:
    """Probes that one node may send to one service.

    Attributes:
        tokens: Probes that may be sent now; below 0 where one was sent that
            could not wait.
        level: Share of the budget that was left at the last refill.
    """

    def __init__(self) -> None:
        self.tokens = 0.0
        self.level = 1.0
        self._refilled_s: float | None = None

    def refill(self, rate_per_s: float, now_s: float) -> None:
        """Adds the probes that are due since the last call."""
        size = max(1.0, rate_per_s * _SAVED_S)
        if self._refilled_s is None:
            self.tokens = size
        else:
            grown = self.tokens + (now_s - self._refilled_s) * rate_per_s
            self.tokens = min(size, grown)
        self.level = max(0.0, self.tokens) / size
        self._refilled_s = now_s


class Ticket(msgspec.Struct):
    service: ServiceId
    excluded: frozenset[TargetId]


class Round:
    """Probes sent for the requests of one service."""

    def __init__(self, service: ServiceId, now_s: float) -> None:
        self.service = service
        self.started_s = now_s
        self.first_answer_s: float | None = None
        self.pending: set[int] = set()
        self.asked: set[TargetId] = set()
        self.found: dict[TargetId, Candidate] = {}
        self.asked_far = False
        self.is_over = False


class Demand:
    """Requests that wait for a target of one service."""

    def __init__(self) -> None:
        self.tickets: collections.OrderedDict[TicketId, Ticket] = (
            collections.OrderedDict()
        )
        self.rounds: list[Round] = []
        self.next_round_s = 0.0
        self.budget = ProbeBudget()
