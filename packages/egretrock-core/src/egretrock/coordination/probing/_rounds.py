"""Requests that wait for a target, and the probes sent for them."""

import collections

import msgspec

from egretrock.coordination.base import TokenBucket
from egretrock.coordination.probing._readings import Candidate
from egretrock.state.ids import ServiceId, TargetId, TicketId

#: Seconds of the budget of probes that may be saved up.
_SAVED_S = 1.0


class ProbeBudget:
    """Probes that one node may send to one service.

    Attributes:
        level: Share of the budget that was left at the last refill.
    """

    def __init__(self) -> None:
        self.level = 1.0
        self._bucket: TokenBucket | None = None

    @property
    def tokens(self) -> float:
        """Probes that may be sent now."""
        return 0.0 if self._bucket is None else self._bucket.tokens

    def refill(self, rate_per_s: float, now_s: float) -> None:
        """Adds the probes that are due since the last call; starts full."""
        size = max(1.0, rate_per_s * _SAVED_S)
        if self._bucket is None:
            self._bucket = TokenBucket(now_s, size)
        self._bucket.refill(rate_per_s, size, now_s)
        self.level = max(0.0, self.tokens) / size

    def spend(self) -> None:
        """Counts a probe, also one that could not wait for its token."""
        self._bucket.tokens -= 1.0


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
