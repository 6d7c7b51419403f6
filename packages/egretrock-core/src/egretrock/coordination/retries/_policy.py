"""Decides whether a failed attempt may be retried."""

import collections
import enum
import random
from collections.abc import Callable

import msgspec

from egretrock.coordination.base import Counters, NullCounters
from egretrock.state.config import RetryProfile
from egretrock.state.ids import Fingerprint, ServiceId, TargetId
from egretrock.state.outcome import RetryReason

#: Size of the bucket of a retry budget, in seconds of the minimum rate. It
#: bounds the extra load when many calls start to fail at once.
BUCKET_SIZE_S = 10.0
#: Seconds for which a full share of less than one token keeps what the last
#: call earned; most calls that fail do so in that time.
EARNED_KEPT_S = 1.0
#: Minimum time to the deadline for a retry; an attempt that cannot finish in
#: time only adds load.
MIN_REMAINING_S = 0.01
#: Length of the intervals in which first attempts are counted for savings.
_COUNT_INTERVAL_S = 0.5


class RetryRefusal(enum.Enum):
    """Why a call is not retried."""

    ANSWER_STARTED = "answer_started"
    MAY_HAVE_RUN = "may_have_run"
    MAY_CRASH = "may_crash"
    MAX_TRIES = "max_tries"
    DEADLINE = "deadline"
    BUDGET = "budget"


class RetryState(msgspec.Struct, frozen=True):
    """State of a call for which a retry is considered.

    Attributes:
        service: Service.
        idempotent: Whether the route allows the request to run more than once.
        attempt_count: Number of attempts made.
        tried_targets: Targets of those attempts.
        deadline_s: Deadline of the call.
        answer_started: Whether any bytes of an answer were sent to the caller.
        fingerprint: Fingerprint of the request, to look up crash evidence.
        max_tries: Maximum number of attempts on the route; None for the limit
            of the profile alone.
    """

    service: ServiceId
    idempotent: bool
    attempt_count: int
    tried_targets: frozenset[TargetId]
    deadline_s: float
    answer_started: bool = False
    fingerprint: Fingerprint | None = None
    max_tries: int | None = None


class FailedAttempt(msgspec.Struct, frozen=True):
    """How the last attempt failed.

    Attributes:
        reason: Reason for a retry.
        bytes_sent: Whether any bytes of the request may have been sent.
        instance_alive: After a lost connection, whether the same instance
            was seen alive afterwards; None if unknown.
    """

    reason: RetryReason
    bytes_sent: bool
    instance_alive: bool | None = None


class RetryDecision(msgspec.Struct, frozen=True):
    """Decision of the policy.

    Attributes:
        allowed: Whether to retry, at a target not in ``excluded``.
        refusal: Reason for a refusal, or None if allowed.
        excluded: Targets of earlier attempts.
    """

    allowed: bool
    refusal: RetryRefusal | None = None
    excluded: frozenset[TargetId] = frozenset()


class RetrySavings(msgspec.Struct, frozen=True):
    """Retries that a node may save from its first attempts.

    Attributes:
        ratio: Retries per first attempt, beside the ratio of the profile.
        kept_s: Seconds for which an unused one is kept.
    """

    ratio: float
    kept_s: float


class _SavedTokens:
    """Tokens that first attempts earn and that expire if not used.

    At any time at most as many are there as the first attempts of the last
    ``kept_s`` seconds have earned.
    """

    def __init__(self, savings: RetrySavings) -> None:
        self._savings = savings
        self._tokens = 0.0
        self._counts: collections.deque[list[float]] = collections.deque()
        self._count = 0

    def on_first_attempt(self, now_s: float) -> None:
        if not self._counts or now_s - self._counts[-1][0] >= _COUNT_INTERVAL_S:
            self._counts.append([now_s, 0])
        self._counts[-1][1] += 1
        self._count += 1
        self._tokens += self._savings.ratio
        self._expire(now_s)

    def tokens(self, now_s: float) -> float:
        """Returns how many may be spent now."""
        self._expire(now_s)
        return self._tokens

    def spend(self, count: float) -> None:
        """Takes tokens off."""
        self._tokens -= count

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._savings.kept_s
        while self._counts and self._counts[0][0] < oldest_s:
            self._count -= self._counts.popleft()[1]
        self._tokens = min(self._tokens, self._savings.ratio * self._count)


class RetryBudget:
    """Token bucket for the retries of one node to one service.

    Earns a fraction of a token per first attempt, and a minimum per second.

    A node whose share of a fleet's budget is below one token can never save a
    whole one, and a rounded share would exceed the budget of the fleet. With
    ``phase`` each try then spends the fraction that is there, and is allowed
    when the sum of the spent fractions and ``phase`` passes a whole number.
    With phases that are drawn evenly from 0 to 1, the retries of many nodes
    add up to the fractions that they spent.

    Args:
        now_s: Start time.
        initial_tokens: Retries available at the start.
        phase: Fraction from 0 to 1 for the budget of a fleet; None to round a
            bucket of less than one token up to one.
        savings: Retries saved beside those of the profile; None for none.

    Example:
        >>> budget = RetryBudget(0.0)
        >>> profile = RetryProfile(budget_ratio=0.5, min_per_s=0.0)
        >>> for _ in range(2):
        ...     budget.on_first_attempt(profile, 0.0)
        >>> budget.take(profile, 0.0), budget.take(profile, 0.0)
        (True, False)
    """

    def __init__(
        self,
        now_s: float,
        initial_tokens: float = 0.0,
        phase: float | None = None,
        savings: RetrySavings | None = None,
    ) -> None:
        self._saved = _SavedTokens(savings or RetrySavings(0.0, 0.0))
        self._tokens = initial_tokens
        self._updated_s = now_s
        self._spent_fraction = phase
        self._earned_s = float("-inf")

    def on_first_attempt(self, profile: RetryProfile, now_s: float) -> None:
        """Counts the first attempt of a call."""
        self._refill(profile, self._saved_limit(profile), now_s)
        self._earned_s = now_s
        self._saved.on_first_attempt(now_s)
        limit = self._limit(profile, now_s)
        self._tokens = min(limit, self._tokens + profile.budget_ratio)

    def take(self, profile: RetryProfile, now_s: float) -> bool:
        """Takes a token for one retry; returns False if there is none."""
        self._refill(profile, self._limit(profile, now_s), now_s)
        saved = self._saved.tokens(now_s)
        if self._tokens + saved >= 1.0:
            from_saved = min(1.0, saved)
            self._saved.spend(from_saved)
            self._tokens -= 1.0 - from_saved
            return True
        if self._spent_fraction is None or self._saved_limit(profile) >= 1.0:
            return False
        self._spent_fraction += self._tokens + saved
        self._tokens = 0.0
        self._saved.spend(saved)
        if self._spent_fraction < 1.0:
            return False
        self._spent_fraction -= 1.0
        return True

    def _saved_limit(self, profile: RetryProfile) -> float:
        """Returns the tokens that may be saved for later."""
        size = BUCKET_SIZE_S * profile.min_per_s
        return size if self._spent_fraction is not None else max(1.0, size)

    def _limit(self, profile: RetryProfile, now_s: float) -> float:
        """Returns the tokens that may be held, with those just earned.

        A share of less than one token would otherwise have no room for what
        the call that fails has earned.
        """
        limit = self._saved_limit(profile)
        is_recent = now_s - self._earned_s <= EARNED_KEPT_S
        if self._spent_fraction is not None and limit < 1.0 and is_recent:
            limit += profile.budget_ratio
        return limit

    def _refill(
        self, profile: RetryProfile, limit: float, now_s: float
    ) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        tokens = self._tokens + elapsed_s * profile.min_per_s
        self._tokens = min(limit, tokens)


class RetryPolicy:
    """Decides on the retries of this node.

    Args:
        profile_of: Returns the retry profile of a service.
        has_evidence: Returns whether there is crash evidence against a
            fingerprint.
        counters: Metrics; ``retries.<reason>`` counts the retries.
        rng: Random source for profiles that are a node's share of a budget of
            the whole fleet; None if each node has a budget of its own. Shares
            start with a full bucket, so the bound over the fleet must allow
            for one bucket per restart.
        savings: Retries that the node saves from its first attempts, beside
            those of the profile; None for none.
    """

    def __init__(
        self,
        profile_of: Callable[[ServiceId], RetryProfile],
        has_evidence: Callable[[Fingerprint, float], bool],
        counters: Counters | None = None,
        rng: random.Random | None = None,
        savings: RetrySavings | None = None,
    ) -> None:
        self._savings = savings
        self._profile_of = profile_of
        self._rng = rng
        self._has_evidence = has_evidence
        self._counters = counters or NullCounters()
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def on_first_attempt(self, service: ServiceId, now_s: float) -> None:
        """Counts the first attempt of a call."""
        budget = self._budget(service, now_s)
        budget.on_first_attempt(self._profile_of(service), now_s)

    def decide_retry(
        self, call: RetryState, failure: FailedAttempt, now_s: float
    ) -> RetryDecision:
        """Decides whether to retry a call, and takes a token if so."""
        refusal = self._refusal(call, failure, now_s)
        if refusal is not None:
            self._counters.increment(f"retries.refused.{refusal.value}")
            return RetryDecision(False, refusal)
        self._counters.increment(f"retries.{failure.reason.value}")
        return RetryDecision(True, excluded=call.tried_targets)

    def retain(self, services: frozenset[ServiceId]) -> None:
        """Keeps only the budgets of ``services``."""
        for service in self._budgets.keys() - services:
            del self._budgets[service]

    def _refusal(
        self, call: RetryState, failure: FailedAttempt, now_s: float
    ) -> RetryRefusal | None:
        """Returns the reason against a retry.

        Without one it takes a token from the budget and returns None.
        """
        profile = self._profile_of(call.service)
        if call.answer_started:
            return RetryRefusal.ANSWER_STARTED
        if failure.bytes_sent and not call.idempotent:
            return RetryRefusal.MAY_HAVE_RUN
        if self._may_crash(call, failure, now_s):
            return RetryRefusal.MAY_CRASH
        max_tries = profile.max_tries
        if call.max_tries is not None:
            max_tries = min(max_tries, call.max_tries)
        if call.attempt_count >= max_tries:
            return RetryRefusal.MAX_TRIES
        if call.deadline_s - now_s < MIN_REMAINING_S:
            return RetryRefusal.DEADLINE
        budget = self._budget(call.service, now_s)
        if not budget.take(profile, now_s):
            return RetryRefusal.BUDGET
        return None

    def _budget(self, service: ServiceId, now_s: float) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(now_s, savings=self._savings)
            if self._rng is not None:
                min_per_s = self._profile_of(service).min_per_s
                budget = RetryBudget(
                    now_s,
                    BUCKET_SIZE_S * min_per_s,
                    self._rng.random(),
                    self._savings,
                )
            self._budgets[service] = budget
        return budget

    def _may_crash(
        self, call: RetryState, failure: FailedAttempt, now_s: float
    ) -> bool:
        is_connection_lost = failure.reason is RetryReason.CONNECTION_LOST
        if (
            is_connection_lost
            and failure.bytes_sent
            and not failure.instance_alive
        ):
            return True
        fingerprint = call.fingerprint
        return fingerprint is not None and self._has_evidence(
            fingerprint, now_s
        )
