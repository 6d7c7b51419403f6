"""Answer to keyed requests while no idempotency records are kept."""

from egretrock.coordination.base import Outbound
from egretrock.state.ids import AttemptId
from egretrock.state.outcome import RunState
from egretrock_node.protocol.requests import (
    BeginOutcome,
    BeginResult,
    RecordKey,
)


class UnavailableIdempotency:
    """Refuses every request that carries an idempotency key.

    Without records a repeat cannot be told from a first request, so running
    either would break the promise of at most once.
    """

    def __init__(self) -> None:
        self._results: list[BeginResult] = []

    def begin(
        self, key: RecordKey, attempt: AttemptId, now_s: float
    ) -> list[Outbound]:
        """Notes the refusal of an attempt."""
        del key, now_s
        self._results.append(BeginResult(attempt, BeginOutcome.UNAVAILABLE))
        return []

    def poll(self, now_s: float) -> list[BeginResult]:
        """Returns the refusals since the last call."""
        del now_s
        results, self._results = self._results, []
        return results

    def complete(
        self,
        key: RecordKey,
        attempt: AttemptId,
        run_state: RunState,
        status: int | None,
        now_s: float,
    ) -> list[Outbound]:
        """Nothing was begun, so nothing is complete."""
        del key, attempt, run_state, status, now_s
        return []
