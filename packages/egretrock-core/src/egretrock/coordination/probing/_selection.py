"""Selects the target of one request among those that answered a probe."""

from collections.abc import Callable, Iterable

from egretrock.coordination.base import Counters
from egretrock.coordination.probing._candidates import Candidate
from egretrock.coordination.probing._needs import Needs
from egretrock.coordination.probing._ports import (
    IdleConnections,
    TargetEvidence,
)
from egretrock.coordination.probing._settings import ChoiceSettings


class TargetSelector:
    """Selects by cost, by what the request needs, and by open connections.

    Args:
        settings: Settings of the choice.
        evidence: Outcomes of attempts at the targets.
        connections: Open connections of this node.
        counters: Metrics.
    """

    def __init__(
        self,
        settings: ChoiceSettings,
        evidence: TargetEvidence,
        connections: IdleConnections,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._evidence = evidence
        self._connections = connections
        self._counters = counters

    def is_good(self, candidate: Candidate, needs: Needs) -> bool:
        """Returns whether to stop looking for a better target."""
        return (
            not candidate.is_out
            and candidate.cost(needs.loss_cost) <= self._settings.good_cost
            and candidate.slowdown() <= needs.in_time_slowdown
        )

    def select(
        self,
        candidates: Iterable[Candidate],
        needs: Needs,
        may_send: Callable[[Candidate], bool],
        now_s: float,
    ) -> Candidate | None:
        """Returns the target of a request, or None if it waits.

        Args:
            candidates: Targets that have room for the request.
            needs: What the request needs.
            may_send: Returns whether the bounds of a target allow a request;
                called in the order of preference.
            now_s: Time.
        """
        in_service, out = [], []
        for candidate in candidates:
            (out if candidate.is_out else in_service).append(candidate)
        if needs.may_try:
            for candidate in out:
                if (
                    candidate.free_slots
                    and may_send(candidate)
                    and self._evidence.take_try(candidate.id, now_s)
                ):
                    self._counters.increment("choice.tried_out")
                    return candidate
        if not in_service and not needs.is_held:
            in_service = out
        max_slowdown = needs.in_time_slowdown
        if needs.is_worth_holding and any(c.free_slots for c in in_service):
            # Where all are full, another round finds no better one.
            max_slowdown = min(max_slowdown, needs.on_time_slowdown)
        usable = [c for c in in_service if c.slowdown() <= max_slowdown]
        if in_service and not usable:
            self._counters.increment("choice.held_back")
        return next(filter(may_send, self._rank(usable, needs)), None)

    def _rank(
        self, candidates: list[Candidate], needs: Needs
    ) -> list[Candidate]:
        """Returns the candidates in the order of preference.

        Those whose costs differ from the lowest by less than the error of a
        reading come first: with an open connection, and, for a request that
        has slack, with more than one free slot.
        """
        if len(candidates) < 2:
            return candidates
        costs = {c.id: c.cost(needs.loss_cost) for c in candidates}
        limit = min(costs.values()) * (1.0 + self._settings.reading_error)

        def preference(
            candidate: Candidate,
        ) -> tuple[bool, bool, bool, float]:
            cost = costs[candidate.id]
            if cost > limit:
                return (True, False, False, cost)
            return (
                False,
                not self._connections.has_idle_connection(
                    candidate.target.address, not needs.is_repeatable
                ),
                needs.has_slack and candidate.free_slots == 1,
                cost,
            )

        return sorted(candidates, key=preference)
