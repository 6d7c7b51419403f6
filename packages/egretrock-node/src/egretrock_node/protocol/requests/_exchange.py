"""One request: its state, and the events of its caller and its target."""

from typing import TYPE_CHECKING

import logbook

from egretrock.coordination.idempotency import RecordKey
from egretrock.coordination.retries import fingerprint_of
from egretrock.coordination.targets import AttemptOutcome, AttemptResult, Permit
from egretrock.state.ids import (
    AttemptId,
    Fingerprint,
    InstanceId,
    OrganisationId,
    RequestId,
    TargetId,
    TicketId,
)
from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.http import (
    AnswerHead,
    HeaderList,
    RequestHead,
    RouteMatch,
    TargetCondition,
    filter_response_headers,
)
from egretrock_node.protocol.requests._body import BodyBuffer
from egretrock_node.protocol.requests._ports import AttemptHandle, CallerPort
from egretrock_node.protocol.requests._values import (
    AttemptFailure,
    OutgoingRequest,
    RequestSnapshot,
    Stage,
)

if TYPE_CHECKING:
    from egretrock_node.protocol.requests._pipeline import RequestPipeline

_log = logbook.Logger("egretrock.requests")
#: Methods that are sent with ``Content-Length: 0`` if the body is empty.
_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})


class Exchange:
    """A request of a caller, until its answer or refusal is complete.

    The transport calls the ``on_`` methods. An exchange ends in exactly one of
    three ways: with a complete answer, a refusal, or a broken connection.

    Attributes:
        request_id: Id that is sent to the caller and to the target.
        head: The head as received.
        match: Route and profile, or None if none was found.
        organisation: Owner of the key, or None on an open route.
        record: Idempotency record that this request owns or has requested, or
            None.
        record_attempt: Id of this request at its idempotency record, or None.
        dispatch_until_s: Time from which a request with an idempotency key
            must not be sent, because its record may have been lost.
        ticket: Ticket of the outstanding permit request, or None; requests
            that wait for the same service may swap tickets.
        queue_ticket: Ticket in the fair queue while waiting there.
        token_until_s: Time until which the request may wait for a token of
            the rate limit.
        must_report_slot_time: Whether the slot time used must be reported to
            the fair queue.
        slot_time_s: Seconds for which attempts occupied slots of targets.
        digest: Digest of the key, or None on an open route.
        headers: Header fields to forward to the target.
        query: Query without any key.
        deadline_s: Time at which the exchange ends in any case.
        objective_s: Time until which an answer has its full value to the
            caller; the deadline where the route states none.
        caller_deadline_ms: Milliseconds from the head's arrival until the
            deadline that the caller set, or None.
        run_state: Whether a target may have run the request so far.
        stage: Step that the request has reached.
        attempt_count: Attempts sent so far.
        unusable_permits: Permits that could not be used when they arrived.
        excluded: Targets that the request must not be sent to any more.
        attempt: Attempt in progress, or None.
    """

    def __init__(
        self,
        pipeline: "RequestPipeline",
        caller: CallerPort,
        head: RequestHead,
        request_id: RequestId,
        now_s: float,
    ) -> None:
        self._pipeline = pipeline
        self._caller = caller
        self.head = head
        self.request_id = request_id
        self.started_s = now_s
        self.deadline_s = now_s
        self.objective_s = now_s
        self.caller_deadline_ms: float | None = None
        self.match: RouteMatch | None = None
        self.organisation: OrganisationId | None = None
        self.digest: str | None = None
        self.headers: HeaderList = []
        self.query: bytes | None = None
        self.stage = Stage.BODY
        self.run_state = RunState.NOT_RUN
        self.body = BodyBuffer(
            pipeline.settings.max_body_buffer_bytes,
            pipeline.settings.max_waiting_body_bytes,
            pipeline.body_budget,
        )
        self.fingerprint: Fingerprint | None = None
        self.record: RecordKey | None = None
        self.record_attempt: AttemptId | None = None
        self.dispatch_until_s = float("inf")
        self.ticket: TicketId | None = None
        self.queue_ticket: TicketId | None = None
        self.token_until_s = 0.0
        self.must_report_slot_time = False
        self.slot_time_s = 0.0
        self.attempt_count = 0
        self.unusable_permits = 0
        self.excluded: frozenset[TargetId] = frozenset()
        self.attempt: Attempt | None = None
        self._body_paused = False
        self._caller_blocked = False

    # Events of the caller's connection.

    def on_body(self, data: bytes) -> None:
        """Handles a chunk of the request's body."""
        if self.stage is Stage.DONE:
            return
        attempt = self.attempt
        sending = attempt is not None and attempt.is_sending
        if not sending and self._pipeline.body_budget.exceeds_hard_limit:
            self._pipeline.refuse_body(self)
            return
        self.body.add(data, sending)
        if attempt is not None and sending:
            attempt.last_progress_s = self._pipeline.now()
            self._pipeline.body_budget.add_unsent(len(data))
            attempt.handle.write(data)
            return
        if self.body.must_wait:
            self._pause_body()
        if self.stage is Stage.BODY and self.body.is_full:
            self._pipeline.on_body_ready(self)

    def on_body_end(self) -> None:
        """Handles the end of the request's body."""
        if self.stage is Stage.DONE:
            return
        self.body.complete = True
        attempt = self.attempt
        if attempt is not None and attempt.is_sending:
            attempt.handle.finish_body()
        elif self.stage is Stage.BODY:
            self._pipeline.on_body_ready(self)

    def on_caller_disconnected(self) -> None:
        """Cancels the request because the caller has disconnected."""
        if self.stage is not Stage.DONE:
            _log.info(
                "caller left",
                extra={
                    "request_id": self.request_id,
                    "stage": self.stage.value,
                    "run_state": self.run_state.value,
                    "age_ms": self.age_ms(),
                },
            )
            self._end("cancelled", None)

    def on_framing_error(self, refusal: Refusal) -> None:
        """Refuses the request because its body can no longer be parsed."""
        if self.stage is not Stage.DONE:
            self._pipeline.cancel_pending(self, AttemptOutcome.CANCELLED)
            self.refuse(refusal)

    def on_caller_blocked(self, blocked: bool) -> None:
        """Pauses or resumes the target as the caller's send buffer requires."""
        self._caller_blocked = blocked
        attempt = self.attempt
        if attempt is None or not attempt.is_sending:
            return
        attempt.last_progress_s = self._pipeline.now()
        if blocked:
            attempt.handle.pause()
        else:
            attempt.handle.resume()

    # Called by the pipeline.

    @property
    def is_done(self) -> bool:
        """Whether the exchange has ended."""
        return self.stage is Stage.DONE

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be sent again once a byte was sent."""
        return self.match is not None and self.match.route.idempotent

    def snapshot(self, now_s: float) -> RequestSnapshot:
        """Returns a snapshot of the request's state."""
        return RequestSnapshot(
            self.request_id,
            self.match.id if self.match else "",
            self.stage,
            self.run_state,
            now_s - self.started_s,
        )

    def silent_s(self, now_s: float) -> float:
        """Returns the seconds since the target's last progress.

        Zero while the node waits for the caller instead.
        """
        attempt = self.attempt
        if attempt is None or not attempt.is_sending or self._caller_blocked:
            return 0.0
        if not self.body.complete and not attempt.upload_blocked:
            return 0.0
        return now_s - attempt.last_progress_s

    def refuse(self, refusal: Refusal) -> None:
        """Ends the request with a refusal, or aborts a started answer."""
        if self.stage is Stage.DONE:
            return
        if self.stage is Stage.ANSWERING:
            self.abort_answer(refusal.message)
            return
        if self.run_state is not RunState.NOT_RUN:
            # An earlier attempt may have run it, whatever the reason now.
            refusal = Refusal(
                refusal.code,
                RunState.UNKNOWN,
                refusal.message,
                refusal.retry_after_ms,
            )
        self._pipeline.counters.increment(f"refusals.{refusal.code.value}")
        _log.info(
            "request refused",
            extra={
                "request_id": self.request_id,
                "code": refusal.code.value,
                "run_state": refusal.run_state.value,
                "reason": refusal.message,
                "retry_after_ms": refusal.retry_after_ms,
                "stage": self.stage.value,
                "age_ms": self.age_ms(),
                "tries": self.attempt_count,
            },
        )
        answer = self._pipeline.caller_protocol.refuse(refusal, self.request_id)
        self._end("refused", answer.head.status)
        self._caller.start_answer(answer.head)
        self._caller.write(answer.body)
        self._caller.finish()

    def age_ms(self) -> int:
        """Returns the milliseconds since the head arrived."""
        return round((self._pipeline.now() - self.started_s) * 1000)

    def abort_answer(self, reason: str) -> None:
        """Closes the caller's connection in the middle of the answer."""
        if self.stage is not Stage.DONE:
            _log.info(
                "answer aborted",
                extra={
                    "request_id": self.request_id,
                    "reason": reason,
                    "age_ms": self.age_ms(),
                },
            )
            self._end("broken", None)
            self._caller.abort()

    def outgoing(
        self, deadline_ms: int, instance: InstanceId | None
    ) -> OutgoingRequest:
        """Returns the request in the form that is sent to a target."""
        head = self.head
        path_and_query = head.path
        if self.query is not None:
            path_and_query += b"?" + self.query
        length = head.content_length
        if length is None and self.body.complete:
            length = self.body.received_bytes
        headers = [
            *self.headers,
            *self._pipeline.protocol.request_headers(
                self.organisation, self.request_id, deadline_ms, instance
            ),
        ]
        if length == 0 and head.method in _BODY_METHODS:
            headers.append((b"Content-Length", b"0"))
        return OutgoingRequest(
            head.method,
            path_and_query,
            headers,
            length,
            bytes(self.body.held),
            self.body.complete,
        )

    def compute_fingerprint(self) -> Fingerprint:
        """Computes the digest by which equal requests are recognised."""
        head = self.head
        self.fingerprint = fingerprint_of(
            self.organisation,
            head.method.decode("latin-1"),
            head.path.decode("latin-1"),
            (self.query or b"").decode("latin-1"),
            head.content_length,
            bytes(self.body.held),
        )
        return self.fingerprint

    def send_continue(self) -> None:
        """Sends 100 Continue to the caller."""
        self._caller.send_continue()

    def start_answer(self, head: AnswerHead) -> None:
        """Forwards the head of an answer to the caller."""
        self.stage = Stage.ANSWERING
        self.body.drop()
        headers = filter_response_headers(
            head.headers, self._pipeline.protocol.passes_to_caller
        )
        headers.append((b"Egretrock-Request-Id", self.request_id.encode()))
        self._caller.start_answer(
            AnswerHead(head.status, head.reason, headers, head.content_length)
        )

    def write_answer(self, data: bytes) -> None:
        """Forwards a chunk of an answer to the caller."""
        self._caller.write(data)

    def finish_answer(self, status: int) -> None:
        """Completes the answer."""
        _log.debug(
            "request answered",
            extra={
                "request_id": self.request_id,
                "status": status,
                "age_ms": self.age_ms(),
                "tries": self.attempt_count,
            },
        )
        answered_s = self._pipeline.now() - self.started_s
        self._pipeline.counters.observe("requests.answered", answered_s)
        self._end("answered", status)
        self._caller.finish()

    def on_held_sent(self) -> None:
        """Called once the head and the held part of the body were sent."""
        self._pipeline.body_budget.add_unsent(len(self.body.held))
        self.body.on_held_sent()
        self._resume_body()

    def set_upload_blocked(self, blocked: bool) -> None:
        """Pauses or resumes the caller as the target's send buffer requires."""
        if blocked:
            self._pause_body()
        else:
            self._resume_body()

    def _pause_body(self) -> None:
        if not self._body_paused and not self.body.complete:
            self._body_paused = True
            self._caller.pause_body()

    def _resume_body(self) -> None:
        if self._body_paused:
            self._body_paused = False
            self._caller.resume_body()

    def _end(self, outcome: str, status: int | None) -> None:
        self.stage = Stage.DONE
        self.body.drop()
        self._pipeline.on_exchange_end(self, outcome, status)
        self._resume_body()


class Attempt:
    """One attempt to send a request to a target; ignores late events.

    Attributes:
        permit: Permit to send the request to one target.
        handle: Controls the attempt on its connection.
        is_active: Whether the attempt has not ended; events are ignored after
            its end.
        is_kept: Whether the attempt goes on until the deadline although its
            target is silent.
        is_sent: Whether the head was prepared for sending, so that the target
            may have got it.
        earlier_run_state: Run state of the request after its earlier attempts.
        upload_blocked: Whether the send buffer of the target's connection is
            full.
        sent_s: Time at which the head was sent.
        last_progress_s: Time of the last progress on either side, the
            target's or the caller's.
    """

    def __init__(
        self, exchange: Exchange, pipeline: "RequestPipeline", permit: Permit
    ) -> None:
        self._exchange = exchange
        self._pipeline = pipeline
        self.permit = permit
        self.handle: AttemptHandle = None  # type: ignore[assignment]
        self.is_active = True
        self.is_kept = False
        self.is_sent = False
        self.earlier_run_state = RunState.NOT_RUN
        self.upload_blocked = False
        self.sent_s = 0.0
        self.last_progress_s = 0.0
        self._status = 0
        self._held_head: AnswerHead | None = None
        self._held_body = bytearray()
        self._instance: InstanceId | None = None
        self._condition: TargetCondition | None = None

    @property
    def is_sending(self) -> bool:
        """Whether the head was sent and the attempt has not ended."""
        return self.is_sent and self.is_active

    def prepare(self) -> OutgoingRequest | None:
        """Repeats the checks right before the first byte is sent.

        Returns:
            The request to send, or None to send nothing.
        """
        if not self.is_active:
            return None
        now_s = self._pipeline.now()
        if not self._pipeline.prepare_dispatch(self._exchange, self, now_s):
            return None
        self.is_sent = True
        self.sent_s = self.last_progress_s = now_s
        exchange = self._exchange
        exchange.stage = Stage.SENT
        self.earlier_run_state = exchange.run_state
        exchange.run_state = RunState.UNKNOWN
        remaining_ms = int((exchange.deadline_s - now_s) * 1000)
        return exchange.outgoing(remaining_ms, self.permit.instance)

    def on_sent(self) -> None:
        """Called when the prepared bytes were passed to the connection."""
        if self.is_active:
            self._exchange.on_held_sent()

    def on_answer(self, head: AnswerHead) -> None:
        """Handles the head of the answer."""
        if not self.is_active:
            return
        self.last_progress_s = self._pipeline.now()
        answer = self._pipeline.protocol.read_answer(head.status, head.headers)
        self._status = head.status
        self._instance, self._condition = answer.instance, answer.condition
        self._pipeline.on_instance_seen(self.permit.target, answer.instance)
        if answer.limit is not None:
            self._pipeline.on_limit_reported(self.permit.target, answer.limit)
        if answer.not_run:
            self.handle.discard()
            draining = answer.condition is TargetCondition.DRAINING
            reason = RetryReason.DRAINING if draining else RetryReason.SHED
            message = "the target said that it did not run the request"
            self._fail(AttemptFailure(reason, RunState.NOT_RUN, message))
            return
        if not answer.authentic:
            self.handle.abandon(False)
            self._fail(
                AttemptFailure(
                    RetryReason.CONNECTION_LOST,
                    RunState.UNKNOWN,
                    "the answer does not bear the marks of its target",
                )
            )
            return
        self._held_head = head
        self._forward_if_too_large()

    def on_data(self, data: bytes) -> None:
        """Handles a chunk of the answer."""
        if not self.is_active:
            return
        self.last_progress_s = self._pipeline.now()
        if self._held_head is None:
            self._exchange.write_answer(data)
            return
        self._held_body += data
        self._pipeline.answer_budget.held_bytes += len(data)
        self._forward_if_too_large()

    def _forward_if_too_large(self) -> None:
        """Forwards the held part of an answer that must not be held whole."""
        limit_bytes = self._pipeline.settings.max_held_answer_bytes
        if (
            not limit_bytes
            or len(self._held_body) > limit_bytes
            or self._pipeline.answer_budget.exceeds_soft_limit
        ):
            self._forward_held()

    def _forward_held(self) -> None:
        """Forwards the held part of the answer to the caller."""
        head, self._held_head = self._held_head, None
        body = self._take_held_body()
        self._exchange.start_answer(head)
        if body:
            self._exchange.write_answer(body)

    def _take_held_body(self) -> bytes:
        body = bytes(self._held_body)
        self._held_body = bytearray()
        self._pipeline.answer_budget.held_bytes -= len(body)
        return body

    def on_end(self) -> None:
        """Handles the end of the answer."""
        if self.is_active:
            if self._held_head is not None:
                self._forward_held()
            self.end()
            error = self._status >= 500
            outcome = AttemptOutcome.ERROR if error else AttemptOutcome.OK
            self._pipeline.on_attempt_answered(
                self._exchange, self, self.result(outcome)
            )
            self._exchange.finish_answer(self._status)

    def on_failure(self, failure: AttemptFailure) -> None:
        """Handles the end of the attempt without a complete answer."""
        if self.is_active:
            self._fail(failure)

    def on_upload_blocked(self, blocked: bool) -> None:
        """Pauses or resumes the caller as the target's send buffer requires."""
        if self.is_active:
            self.upload_blocked = blocked
            self.last_progress_s = self._pipeline.now()
            self._exchange.set_upload_blocked(blocked)

    def abandon(self, silent: bool) -> None:
        """Abandons the attempt; any answer to it is dropped."""
        if self.is_active:
            self.end()
            self.handle.abandon(silent)

    def end(self) -> None:
        """Ignores all further events and frees what is held of the answer."""
        self.is_active = False
        self._take_held_body()

    def result(self, outcome: AttemptOutcome) -> AttemptResult:
        """Returns the result to report for the permit."""
        if not self.is_sent:
            if outcome is not AttemptOutcome.CONNECT_FAILED:
                outcome = AttemptOutcome.UNUSED
            return AttemptResult(outcome)
        latency_s = self._pipeline.now() - self.sent_s
        return AttemptResult(
            outcome, latency_s, self._instance, self._condition
        )

    def _fail(self, failure: AttemptFailure) -> None:
        self.end()
        self._pipeline.on_attempt_failed(self._exchange, self, failure)


def refusal_not_run(code: RefusalCode, message: str) -> Refusal:
    """Returns a refusal of a request that no target has run."""
    return Refusal(code, RunState.NOT_RUN, message)
