"""The serving node's side of idempotency keys."""

import functools

from egretrock.coordination.base import (
    Counters,
    Message,
    NullCounters,
    Outbound,
    Peer,
    ignore_message,
)
from egretrock.coordination.idempotency._messages import (
    Answer,
    Begin,
    BeginOutcome,
    BeginResult,
    Complete,
    CompleteAck,
)
from egretrock.coordination.idempotency._records import (
    RecordKey,
    partition_of_key,
)
from egretrock.coordination.idempotency._settings import IdempotencySettings
from egretrock.coordination.idempotency._view import PartitionView
from egretrock.state.ids import AttemptId, NodeId
from egretrock.state.outcome import RunState


class _PendingBegin:
    """A ``Begin`` that waits for the holder's answer."""

    def __init__(self, key: RecordKey, now_s: float) -> None:
        self.key = key
        self.first_sent_s = now_s
        self.last_sent_s = now_s


class _Report:
    """An outcome that the holder has not acknowledged."""

    def __init__(self, body: Complete, now_s: float) -> None:
        self.body = body
        self.first_sent_s = now_s
        self.last_sent_s = now_s


class IdempotencyClient:
    """Asks the holder of a key whether an attempt is its first one.

    An answer is accepted if it arrives within ``begin_s`` after the first
    send of ``Begin``. The request must be dispatched within ``dispatch_s``
    after that send; the caller checks ``BeginResult.dispatch_until_s`` against
    the clock at the dispatch. The holder keeps the record ``dispatch_s``
    longer than the window.

    Each attempt gets one result. An attempt without an answer is reported as
    not run, so that the caller may use the key in another attempt.

    Args:
        fleet: Partition leases.
        settings: Settings; the same on all nodes.
        counters: Counters.
    """

    def __init__(
        self,
        fleet: PartitionView,
        settings: IdempotencySettings | None = None,
        counters: Counters | None = None,
    ) -> None:
        self._fleet = fleet
        self._settings = settings or IdempotencySettings()
        self._counters = counters or NullCounters()
        self._pending_begins: dict[AttemptId, _PendingBegin] = {}
        self._reports: dict[AttemptId, _Report] = {}
        self._results: list[BeginResult] = []

    def begin(
        self, key: RecordKey, attempt: AttemptId, now_s: float
    ) -> list[Outbound]:
        """Asks the holder about an attempt; ``poll`` returns the result.

        Args:
            key: Digest of the key, from ``record_key``.
            attempt: Id that is unique in the fleet: incarnation and sequence
                number.
            now_s: Current time.

        Raises:
            ValueError: If the attempt is already pending.
        """
        if attempt in self._pending_begins:
            raise ValueError(f"attempt {attempt} is already pending")
        max_pending = self._settings.attempt_count
        if (
            len(self._pending_begins) >= max_pending
            or self._holder(key, now_s) is None
        ):
            self._counters.increment("idempotency.not_asked")
            self._add_result(attempt, BeginOutcome.UNAVAILABLE)
            return []
        self._pending_begins[attempt] = _PendingBegin(key, now_s)
        return self._send(key, Begin(key, attempt), now_s)

    def poll(self, now_s: float) -> list[BeginResult]:
        """Returns the results since the last call."""
        self._expire(now_s)
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
        """Reports the outcome of an attempt that got ``FIRST``.

        ``NOT_RUN`` frees the key. If the report never arrives, the key stays
        refused until its record expires.
        """
        body = Complete(key, attempt, run_state, status)
        if len(self._reports) >= self._settings.attempt_count:
            self._counters.increment("idempotency.reports_dropped")
        else:
            self._reports[attempt] = _Report(body, now_s)
        return self._send(key, body, now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Resends unanswered ``Begin`` messages and unacknowledged reports."""
        messages = self._expire(now_s)
        due_s = now_s - self._settings.resend_s
        for attempt, pending in self._pending_begins.items():
            if pending.last_sent_s <= due_s:
                pending.last_sent_s = now_s
                body = Begin(pending.key, attempt)
                messages += self._send(pending.key, body, now_s)
        for attempt, report in list(self._reports.items()):
            if now_s - report.first_sent_s > self._settings.report_s:
                del self._reports[attempt]
            elif report.last_sent_s <= due_s:
                report.last_sent_s = now_s
                messages += self._send(report.body.key, report.body, now_s)
        return messages

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message from a listed node."""
        vms = self._fleet.vms()
        if vms is None or sender.node not in vms.nodes:
            self._counters.increment("idempotency.unlisted_sender")
            return []
        return self._handle(body, sender, now_s)

    _handle = functools.singledispatchmethod(ignore_message)

    @_handle.register
    def _on_answer(
        self, body: Answer, sender: Peer, now_s: float
    ) -> list[Outbound]:
        messages = self._expire(now_s)
        pending = self._pending_begins.pop(body.attempt, None)
        if pending is None:
            self._counters.increment("idempotency.late_answers")
            return messages
        if body.outcome is BeginOutcome.UNAVAILABLE:
            # Another holder may have recorded an earlier ``Begin``, so the
            # attempt is reported as not run, which frees the key there.
            messages += self._abandon(body.attempt, pending, now_s)
            return messages
        until_s = pending.first_sent_s + self._settings.dispatch_s
        result = BeginResult(
            record_attempt=body.attempt,
            outcome=body.outcome,
            run_state=body.run_state,
            status=body.status,
            dispatch_until_s=until_s,
        )
        self._results.append(result)
        return messages

    @_handle.register
    def _on_complete_ack(
        self, body: CompleteAck, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._reports.pop(body.attempt, None)
        return []

    def _expire(self, now_s: float) -> list[Outbound]:
        """Abandons attempts without an answer within ``begin_s``.

        The reports of attempts that ``poll`` abandons are sent by the next
        tick.
        """
        messages = []
        for attempt, pending in list(self._pending_begins.items()):
            if now_s - pending.first_sent_s < self._settings.begin_s:
                break
            del self._pending_begins[attempt]
            messages += self._abandon(attempt, pending, now_s)
        return messages

    def _abandon(
        self, attempt: AttemptId, pending: _PendingBegin, now_s: float
    ) -> list[Outbound]:
        self._add_result(attempt, BeginOutcome.UNAVAILABLE)
        state = RunState.NOT_RUN
        return self.complete(pending.key, attempt, state, None, now_s)

    def _add_result(self, attempt: AttemptId, outcome: BeginOutcome) -> None:
        self._results.append(BeginResult(attempt, outcome))

    def _holder(self, key: RecordKey, now_s: float) -> NodeId | None:
        return self._fleet.partition_holder(partition_of_key(key), now_s)

    def _send(
        self, key: RecordKey, body: Message, now_s: float
    ) -> list[Outbound]:
        holder = self._holder(key, now_s)
        return [] if holder is None else [Outbound(holder, body)]
