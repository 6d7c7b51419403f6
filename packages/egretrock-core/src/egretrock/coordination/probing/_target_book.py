"""What a node knows of each target, and the candidates that result."""

from collections.abc import Callable, Iterable, Mapping

from egretrock.coordination.probing._candidates import Candidate
from egretrock.coordination.probing._ports import TargetEvidence
from egretrock.coordination.probing._readings import TargetStats
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.coordination.targets import (
    AttemptOutcome,
    AttemptResult,
    Permit,
)
from egretrock.state.config import Target
from egretrock.state.ids import ServiceId, TargetId

#: Returns the usable targets of a service: listed, not draining, and in a data
#: centre that is enabled.
UsableTargets = Callable[[ServiceId], Mapping[TargetId, Target]]

#: Outcomes that raise the failure rate of a target. ``CONNECT_FAILED`` (no
#: connection was made) does not; it counts as an unanswered probe.
_FAILURES = frozenset(
    {
        AttemptOutcome.ERROR,
        AttemptOutcome.LOST,
        AttemptOutcome.SHED,
        AttemptOutcome.TIMEOUT,
    }
)
#: Outcomes that say nothing about the target.
_WITHOUT_EVIDENCE = frozenset(
    {
        AttemptOutcome.CANCELLED,
        AttemptOutcome.UNUSED,
        AttemptOutcome.UNUSABLE,
    }
)


class TargetBook:
    """Statistics of the targets of all services.

    Args:
        evidence: Outcomes of attempts at the targets, also those of other
            nodes.
        settings: Settings of the choice.
        warm_up_rate_of: Returns the requests per second that a cold target of
            a service takes from all nodes, or None if it takes none.

    Attributes:
        stats: Statistics by target.
    """

    def __init__(
        self,
        evidence: TargetEvidence,
        settings: ChoiceSettings,
        warm_up_rate_of: Callable[[ServiceId], float | None],
    ) -> None:
        self._evidence = evidence
        self._settings = settings
        self._warm_up_rate_of = warm_up_rate_of
        self.stats: dict[TargetId, TargetStats] = {}

    def on_finished(
        self, permit: Permit, result: AttemptResult, now_s: float
    ) -> None:
        """Records the outcome of a request."""
        outcome = result.outcome
        if outcome not in _WITHOUT_EVIDENCE:
            self._evidence.record(
                permit.service,
                permit.target,
                result.instance or permit.instance,
                outcome,
                now_s,
            )
        stats = self.stats.get(permit.target)
        if stats is None:
            return
        stats.on_finished()
        if outcome is AttemptOutcome.UNUSED:
            return
        if outcome is AttemptOutcome.CONNECT_FAILED:
            stats.on_no_answer(now_s)
        if outcome is not AttemptOutcome.CANCELLED:
            is_failure = outcome in _FAILURES
            is_loss = is_failure and outcome is not AttemptOutcome.SHED
            stats.on_outcome(is_failure, is_loss, now_s)

    def candidate(
        self, target_id: TargetId, target: Target, now_s: float
    ) -> Candidate:
        """Returns a target that has been read as a candidate."""
        stats = self.stats[target_id]
        shared_rate = self._evidence.failure_rate(target_id, now_s)
        candidate = Candidate(
            target_id,
            target,
            stats.reading,
            0,
            max(stats.failure_rate(now_s), shared_rate),
            max(stats.loss_rate(now_s), shared_rate),
            self._evidence.is_out(target_id, now_s),
        )
        self.update(candidate)
        return candidate

    def update(self, candidate: Candidate) -> None:
        """Applies the latest reading, which may come from another round."""
        stats = self.stats[candidate.id]
        reading = candidate.reading = stats.reading
        candidate.occupancy = (
            reading.running + reading.waiting + stats.unreported_count()
        )

    def is_eligible(self, candidate: Candidate) -> bool:
        """Returns whether a target is warm and able to run requests."""
        return _is_serving(candidate) and candidate.reading.cold_s <= 0

    def eligible(
        self, service: ServiceId, candidates: Iterable[Candidate]
    ) -> list[Candidate]:
        """Returns the warm targets, or cold ones if no target is warm."""
        serving = list(filter(_is_serving, candidates))
        warm = [c for c in serving if c.reading.cold_s <= 0]
        if warm or self._warm_up_rate_of(service) is None:
            return warm
        # A cold target is slow, so it gets no queue.
        return [c for c in serving if c.free_slots]

    def has_room(self, candidate: Candidate) -> bool:
        """Returns whether one more request fits into a target's queue."""
        slots = candidate.reading.slots
        limit = slots * (1.0 + self._settings.max_waiting_ratio)
        return candidate.occupancy + 1 <= limit

    def slowest_service_time(self, targets: Mapping[TargetId, Target]) -> float:
        """Returns the highest relative service time that was read."""
        return max(
            (
                stats.reading.relative_service_time
                for target_id in targets
                if (stats := self.stats.get(target_id)) is not None
                and stats.reading is not None
            ),
            default=0.0,
        )

    def retain(self, kept: set[TargetId]) -> None:
        """Keeps only the statistics of some targets."""
        for target_id in self.stats.keys() - kept:
            del self.stats[target_id]


def _is_serving(candidate: Candidate) -> bool:
    reading = candidate.reading
    if not reading.healthy or reading.slots < 1:
        return False
    instance = reading.instance
    return instance is None or instance == candidate.id
