"""What a waiting request needs of its target at one moment."""

from typing import NamedTuple

from egretrock.coordination.probing._candidates import RETRIED_FAILURE_COST
from egretrock.coordination.probing._rounds import Ticket
from egretrock.coordination.probing._settings import ChoiceSettings

#: Largest cost of a failed attempt, in units of the usual service time.
_MAX_FAILURE_COST = 20.0
#: Slowdown that a request with much slack can bear.
_SLACK_SLOWDOWN = 4.0


class Needs(NamedTuple):
    """What a request needs of its target; times in usual service times.

    Attributes:
        failure_cost: Cost of a failed attempt.
        on_time_slowdown: Slowdown from which the answer is late.
        max_slowdown: Slowdown from which waiting for another target is better.
        is_repeatable: Whether the request may run more than once.
        may_try: Whether a failed attempt and a second one would still be on
            time, so that the request may try a target that has failed.
        is_held: Whether the request has waited too briefly to accept any
            target.
    """

    failure_cost: float = RETRIED_FAILURE_COST
    on_time_slowdown: float = float("inf")
    max_slowdown: float = float("inf")
    is_repeatable: bool = True
    may_try: bool = True
    is_held: bool = False

    @property
    def has_slack(self) -> bool:
        """Whether a target several times slower than usual is good enough."""
        return self.on_time_slowdown > _SLACK_SLOWDOWN


def needs_of(ticket: Ticket, settings: ChoiceSettings, now_s: float) -> Needs:
    """Returns what a waiting request needs.

    Targets that would answer late are refused only as long as waiting can do
    better: a good target found in the next round would answer in time.

    Args:
        ticket: The request.
        settings: Settings of the choice.
        now_s: Time.
    """
    stake = ticket.stake
    if stake is None:
        return Needs()
    is_held = now_s - ticket.requested_s < settings.max_hold_s
    if not stake.work_s:
        return Needs(
            is_repeatable=stake.is_repeatable,
            may_try=stake.is_repeatable and not ticket.excluded,
            is_held=is_held,
        )
    in_time_slowdown = (stake.deadline_s - now_s) / stake.work_s
    on_time_slowdown = (stake.objective_s - now_s) / stake.work_s
    failure_cost = RETRIED_FAILURE_COST
    if not stake.is_repeatable or ticket.excluded:
        # Nothing is left after a failure, so it costs as much as an answer at
        # the deadline.
        failure_cost = max(
            failure_cost, min(in_time_slowdown, _MAX_FAILURE_COST)
        )
    next_slowdown = settings.good_cost + settings.retry_s / stake.work_s
    max_slowdown = float("inf")
    if in_time_slowdown >= next_slowdown:
        max_slowdown = in_time_slowdown
    if is_held and on_time_slowdown >= next_slowdown:
        max_slowdown = min(max_slowdown, on_time_slowdown)
    return Needs(
        failure_cost,
        on_time_slowdown,
        max_slowdown,
        stake.is_repeatable,
        stake.is_repeatable
        and not ticket.excluded
        and on_time_slowdown >= 2 * settings.good_cost,
        is_held,
    )


def start_order(ticket: Ticket, now_s: float) -> tuple[bool, float]:
    """Returns the key by which waiting requests are given their targets.

    The request that must start first comes first; those that are late
    already come after the others.
    """
    stake = ticket.stake
    if stake is None:
        return (False, float("inf"))
    latest_start_s = stake.objective_s - (stake.work_s or 0.0)
    return (latest_start_s < now_s, latest_start_s)
