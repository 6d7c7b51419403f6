"""Sends the probes of rounds within the budget of their service."""

from collections.abc import Callable, Iterator, Sequence

from egretrock.coordination.base import Counters
from egretrock.coordination.probing._probe_order import ProbeOrder
from egretrock.coordination.probing._readings import LoadProbe
from egretrock.coordination.probing._rounds import ProbeRound, ServiceDemand
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.coordination.probing._target_book import UsableTargets
from egretrock.state.ids import TargetId


class ProbeSender:
    """Chooses the targets to probe, and keeps the probes without an answer.

    Args:
        targets_of: Returns the usable targets of a service.
        order: Orders the targets.
        settings: Settings of the choice.
        numbers: Source of the numbers of probes.
        counters: Metrics.
        on_probes_due: Called when there are new probes to send.
    """

    def __init__(
        self,
        targets_of: UsableTargets,
        order: ProbeOrder,
        settings: ChoiceSettings,
        numbers: Iterator[int],
        counters: Counters,
        on_probes_due: Callable[[], None],
    ) -> None:
        self._targets_of = targets_of
        self._order = order
        self._settings = settings
        self._numbers = numbers
        self._counters = counters
        self._on_probes_due = on_probes_due
        self._pending: dict[int, tuple[ProbeRound, float]] = {}
        self._unsent: list[LoadProbe] = []

    def take_unsent(self) -> list[LoadProbe]:
        """Returns the probes to send."""
        probes, self._unsent = self._unsent, []
        return probes

    def pop_pending(self, number: int) -> tuple[ProbeRound, float] | None:
        """Removes a probe; returns its round and the time of sending."""
        return self._pending.pop(number, None)

    def send(
        self,
        probe_round: ProbeRound,
        demand: ServiceDemand,
        tiers: Sequence[list[TargetId]],
        count: int,
        now_s: float,
    ) -> bool:
        """Sends up to ``count`` probes; returns whether any was sent.

        Targets are probed in the order of their tiers; those that recently
        looked slow come last, whatever their tier. The first probe of a
        round is sent even if the budget is exhausted.
        """
        service = probe_round.service
        targets = self._targets_of(service)
        ordered, open_count = self._order.order(
            targets,
            tiers,
            _excluded_by_all(demand) | probe_round.probed_targets,
            now_s,
        )
        budget = demand.budget
        # When the budget runs short, every request gets fewer probes, rather
        # than some requests many and others none.
        min_count = self._settings.min_probe_count
        count = max(min_count, round(count * budget.fill_ratio))
        if not probe_round.is_widened and 2 * open_count >= len(tiers[0]):
            # In a service that is not full, no connection is opened just to
            # compare one target more.
            count = min(count, max(min_count, open_count))
        any_sent = False
        for target_id in ordered[:count]:
            if budget.tokens < 1.0 and (any_sent or probe_round.probed_targets):
                self._counters.increment("probes.saved")
                break
            budget.force_take()
            any_sent = True
            self._add(probe_round, target_id, targets[target_id].address, now_s)
        if any_sent:
            self._on_probes_due()
        return any_sent

    def _add(
        self,
        probe_round: ProbeRound,
        target_id: TargetId,
        address: str,
        now_s: float,
    ) -> None:
        number = next(self._numbers)
        probe_round.pending_probes.add(number)
        probe_round.probed_targets.add(target_id)
        self._pending[number] = (probe_round, now_s)
        self._unsent.append(
            LoadProbe(
                number,
                probe_round.service,
                target_id,
                address,
                self._settings.probe_timeout_s,
            )
        )
        self._counters.increment("probes.sent")


def _excluded_by_all(demand: ServiceDemand) -> frozenset[TargetId]:
    """Returns the targets that every waiting request excludes."""
    excluded = None
    for ticket in demand.tickets.values():
        if not ticket.excluded:
            return frozenset()
        if excluded is None:
            excluded = ticket.excluded
        else:
            excluded &= ticket.excluded
    return excluded or frozenset()
