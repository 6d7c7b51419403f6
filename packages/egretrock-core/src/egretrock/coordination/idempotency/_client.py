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
    Noted,
)
from egretrock.coordination.idempotency._records import (
    RecordKey,
    partition_of_key,
)
from egretrock.coordination.idempotency._settings import IdempotencySettings
from egretrock.coordination.idempotency._view import PartitionView
from egretrock.state.ids import AttemptId, NodeId
from egretrock.state.outcome import RunState


class _Question:
    """An attempt that waits for the holder's answer."""

    def __init__(self, key: RecordKey, now_s: float) -> None:
        self.key = key
        self.asked_s = now_s
        self.sent_s = now_s


class _Report:
    """An outcome that the holder has not confirmed."""

    def __init__(self, body: Complete, now_s: float) -> None:
        self.body = body
        self.reported_s = now_s
        self.sent_s = now_s


class IdempotencyClient:
    """Asks the holder of a key whether an attempt is the first.

    An answer counts if it arrives within ``begin_s`` of the send of the
    first question. A dispatch must happen within ``dispatch_s`` of that
    send, read from a clock at the dispatch (``BeginResult.dispatch_until_s``).
    The holder keeps the record ``dispatch_s`` longer than the window.

    An attempt gets one result. An attempt without an answer is reported as
    not run, so that the caller may try the key again.

    Args:
        fleet: Partition leases.
        settings: Constants; equal on all nodes.
        counters: Where events are counted.
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
        self._questions: dict[AttemptId, _Question] = {}
        self._reports: dict[AttemptId, _Report] = {}
        self._results: list[BeginResult] = []

    def begin(
        self, key: RecordKey, attempt: AttemptId, now_s: float
    ) -> list[Outbound]:
        """Asks for an attempt; the result comes from ``poll``.

        Args:
            key: Digest of the key, from ``record_key``.
            attempt: Id that is unique in the fleet: incarnation and number.
            now_s: Current time.

        Raises:
            ValueError: If the attempt was begun before.
        """
        if attempt in self._questions:
            raise ValueError(f"attempt {attempt} was begun before")
        bound = self._settings.attempt_count
        if len(self._questions) >= bound or self._holder(key, now_s) is None:
            self._counters.increment("idempotency.not_asked")
            self._finish(attempt, BeginOutcome.UNAVAILABLE)
            return []
        self._questions[attempt] = _Question(key, now_s)
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
        """Reports the outcome of an attempt that was ``first``.

        ``not_run`` frees the key. A report that stays lost leaves the key
        refused for its window, never free.
        """
        body = Complete(key, attempt, run_state, status)
        if len(self._reports) >= self._settings.attempt_count:
            self._counters.increment("idempotency.reports_dropped")
        else:
            self._reports[attempt] = _Report(body, now_s)
        return self._send(key, body, now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Repeats questions and reports that have no answer."""
        messages = self._expire(now_s)
        due_s = now_s - self._settings.resend_s
        for attempt, question in self._questions.items():
            if question.sent_s <= due_s:
                question.sent_s = now_s
                body = Begin(question.key, attempt)
                messages += self._send(question.key, body, now_s)
        for attempt, report in list(self._reports.items()):
            if now_s - report.reported_s > self._settings.report_s:
                del self._reports[attempt]
            elif report.sent_s <= due_s:
                report.sent_s = now_s
                messages += self._send(report.body.key, report.body, now_s)
        return messages

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Takes a message of a listed node."""
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
        question = self._questions.pop(body.attempt, None)
        if question is None:
            self._counters.increment("idempotency.late_answers")
            return messages
        if body.outcome is BeginOutcome.UNAVAILABLE:
            # An earlier question may have been recorded elsewhere.
            messages += self._abandon(body.attempt, question, now_s)
            return messages
        until_s = question.asked_s + self._settings.dispatch_s
        result = BeginResult(
            attempt=body.attempt,
            outcome=body.outcome,
            run_state=body.run_state,
            status=body.status,
            dispatch_until_s=until_s,
        )
        self._results.append(result)
        return messages

    @_handle.register
    def _on_noted(
        self, body: Noted, sender: Peer, now_s: float
    ) -> list[Outbound]:
        self._reports.pop(body.attempt, None)
        return []

    def _expire(self, now_s: float) -> list[Outbound]:
        """Gives up the questions without an answer in ``begin_s``.

        The reports of attempts that ``poll`` gives up are sent by the next
        tick.
        """
        messages = []
        for attempt, question in list(self._questions.items()):
            if now_s - question.asked_s < self._settings.begin_s:
                break
            del self._questions[attempt]
            messages += self._abandon(attempt, question, now_s)
        return messages

    def _abandon(
        self, attempt: AttemptId, question: _Question, now_s: float
    ) -> list[Outbound]:
        self._finish(attempt, BeginOutcome.UNAVAILABLE)
        state = RunState.NOT_RUN
        return self.complete(question.key, attempt, state, None, now_s)

    def _finish(self, attempt: AttemptId, outcome: BeginOutcome) -> None:
        self._results.append(BeginResult(attempt, outcome))

    def _holder(self, key: RecordKey, now_s: float) -> NodeId | None:
        return self._fleet.partition_holder(partition_of_key(key), now_s)

    def _send(
        self, key: RecordKey, body: Message, now_s: float
    ) -> list[Outbound]:
        holder = self._holder(key, now_s)
        return [] if holder is None else [Outbound(holder, body)]
