"""What a waiting request needs of its target at one moment."""

from typing import NamedTuple

from egretrock.coordination.probing._candidates import RETRIED_FAILURE_COST
from egretrock.coordination.probing._rounds import Ticket
from egretrock.coordination.probing._settings import ChoiceSettings

#: Largest cost of a lost answer, in units of the usual service time.
_MAX_LOSS_COST = 20.0
#: Slowdown that a request with much slack can bear.
_SLACK_SLOWDOWN = 4.0


class Needs(NamedTuple):
    """What a request needs of its target; times in usual service times.

    Attributes:
        loss_cost: Cost of an attempt whose answer is lost.
        on_time_slowdown: Slowdown from which the answer is late.
        in_time_slowdown: Slowdown from which waiting for a target that
            answers before the deadline is better; infinite if none could.
        is_worth_holding: Whether waiting for a target that answers on time is
            better than a late answer.
        is_repeatable: Whether the request may run more than once.
        may_try: Whether a failed attempt and a second one would still be on
            time, so that the request may try a target that has failed.
        is_held: Whether the request has waited too briefly to accept any
            target.
    """

    loss_cost: float = RETRIED_FAILURE_COST
    on_time_slowdown: float = float("inf")
    in_time_slowdown: float = float("inf")
    is_worth_holding: bool = False
    is_repeatable: bool = True
    may_try: bool = True
    is_held: bool = False

    @property
    def has_slack(self) -> bool:
        """Whether a target several times slower than usual is good enough."""
        return self.on_time_slowdown > _SLACK_SLOWDOWN

    def without_holding(self) -> "Needs":
        """Returns the needs of a request that takes any target with room."""
        return self._replace(
            in_time_slowdown=float("inf"), is_worth_holding=False
        )


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
        # Without a stake it may be a request that may run only once.
        return Needs(may_try=False)
    is_held = now_s - ticket.requested_s < settings.max_hold_s
    if not stake.work_s:
        return Needs(
            is_repeatable=stake.is_repeatable,
            may_try=stake.is_repeatable and not ticket.excluded,
            is_held=is_held,
        )
    in_time_slowdown = (stake.deadline_s - now_s) / stake.work_s
    on_time_slowdown = (stake.objective_s - now_s) / stake.work_s
    loss_cost = RETRIED_FAILURE_COST
    if not stake.is_repeatable or ticket.excluded:
        # Nothing is left after a loss, so it costs as much as an answer at
        # the deadline.
        loss_cost = max(loss_cost, min(in_time_slowdown, _MAX_LOSS_COST))
    next_slowdown = settings.good_cost + settings.retry_s / stake.work_s
    if in_time_slowdown < next_slowdown:
        in_time_slowdown = float("inf")
    return Needs(
        loss_cost,
        on_time_slowdown,
        in_time_slowdown,
        is_held and on_time_slowdown >= next_slowdown,
        stake.is_repeatable,
        stake.is_repeatable
        and not ticket.excluded
        and on_time_slowdown >= 2 * settings.good_cost,
        is_held,
    )
