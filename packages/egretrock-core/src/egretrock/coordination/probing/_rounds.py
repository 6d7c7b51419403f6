"""Requests waiting for a target, and the rounds of probes for them."""

import collections

import msgspec

from egretrock.coordination.base import TokenBucket
from egretrock.coordination.probing._candidates import Candidate
from egretrock.coordination.targets import RequestStake
from egretrock.state.ids import ServiceId, TargetId, TicketId

#: Size of the bucket of the probe budget, in seconds of its rate.
_BURST_S = 1.0
#: Probes beyond the budget that requests with little slack may send, in
#: seconds of its rate. They are missing from the budget afterwards.
_OVERDRAFT_S = 0.25


class ProbeBudget:
    """Token bucket for the probes of one node to one service.

    Attributes:
        fill_ratio: Fraction of the bucket that was full at the last refill.
    """

    def __init__(self) -> None:
        self.fill_ratio = 1.0
        self._overdraft = 0.0
        self._bucket: TokenBucket | None = None

    @property
    def tokens(self) -> float:
        """Number of probes that may be sent now; may be negative."""
        return 0.0 if self._bucket is None else self._bucket.tokens

    def refill(self, rate_per_s: float, now_s: float) -> None:
        """Adds the tokens earned since the last call; starts full."""
        size = max(1.0, rate_per_s * _BURST_S)
        self._overdraft = rate_per_s * _OVERDRAFT_S
        if self._bucket is None:
            self._bucket = TokenBucket(now_s, size)
        self._bucket.refill(rate_per_s, size, now_s)
        self.fill_ratio = max(0.0, self.tokens) / size

    def may_overdraw(self) -> bool:
        """Returns whether a request with little slack may send a probe."""
        return self.tokens > -self._overdraft

    def force_take(self) -> None:
        """Takes a token for a probe, even if that makes the bucket negative."""
        self._bucket.tokens -= 1.0


class Ticket(msgspec.Struct):
    """A request waiting for a target.

    Attributes:
        service: Service.
        excluded: Targets that it must not use.
        requested_s: Time at which it began to wait.
        stake: What the request needs; None if unknown.
    """

    service: ServiceId
    excluded: frozenset[TargetId]
    requested_s: float
    stake: RequestStake | None = None


class ProbeRound:
    """A round of probes for the waiting requests of one service.

    Attributes:
        service: Service.
        started_s: When the round started, or was widened.
        first_answer_s: When the first answer arrived, or None before it.
        pending_probes: Numbers of the unanswered probes.
        probed_targets: Targets that were probed.
        candidates: Targets that answered.
        is_widened: Whether targets of all tiers (see ``Subset``) were probed
            after the near ones.
        is_finished: Whether the round has ended.
    """

    def __init__(self, service: ServiceId, now_s: float) -> None:
        self.service = service
        self.started_s = now_s
        self.first_answer_s: float | None = None
        self.pending_probes: set[int] = set()
        self.probed_targets: set[TargetId] = set()
        self.candidates: dict[TargetId, Candidate] = {}
        self.is_widened = False
        self.is_finished = False


class ServiceDemand:
    """Requests waiting for a target of one service, and their rounds.

    Attributes:
        tickets: Waiting requests in order of arrival.
        rounds: Rounds in progress.
        next_round_s: Time before which no round starts.
        budget: Budget of probes.
    """

    def __init__(self) -> None:
        self.tickets: collections.OrderedDict[TicketId, Ticket] = (
            collections.OrderedDict()
        )
        self.rounds: list[ProbeRound] = []
        self.next_round_s = 0.0
        self.budget = ProbeBudget()
