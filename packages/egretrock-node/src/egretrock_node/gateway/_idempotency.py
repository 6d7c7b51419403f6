"""Implementation of the idempotency port that refuses all keys."""

from egretrock.coordination.base import Outbound
from egretrock.coordination.idempotency import (
    BeginOutcome,
    BeginResult,
    RecordKey,
)
from egretrock.state.ids import AttemptId
from egretrock.state.outcome import RunState


class DisabledIdempotency:
    """Keeps no records: requests with an idempotency key are refused.

    Without a published VM list no node can be sure that it alone holds a
    record, so a request with a key could run twice.
    """

    def __init__(self) -> None:
        self._results: list[BeginResult] = []

    def begin(
        self, key: RecordKey, attempt: AttemptId, now_s: float
    ) -> list[Outbound]:
        """Refuses a request with a key."""
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
        """Does nothing, as no record was begun."""
        del key, attempt, run_state, status, now_s
        return []
