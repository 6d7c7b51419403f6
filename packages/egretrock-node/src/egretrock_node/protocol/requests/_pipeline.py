"""The steps of a request, from its head to its answer or refusal."""

import logbook

from egretrock.coordination.base import Counters, Outbound, isolated
from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.idempotency import BeginOutcome, BeginResult
from egretrock.coordination.retries import FailedAttempt, RetryState
from egretrock.coordination.targets import AttemptOutcome, AttemptResult, Permit
from egretrock.state.config import PublishedConfig
from egretrock.state.ids import (
    AttemptId,
    Incarnation,
    InstanceId,
    ServiceId,
    TargetId,
)
from egretrock.state.outcome import (
    Refusal,
    RefusalCode,
    RetryReason,
    RunState,
)
from egretrock_node.protocol.http import (
    CallerProtocol,
    Credentials,
    RequestHead,
    RequestIds,
    Routing,
    TargetProtocol,
)
from egretrock_node.protocol.requests._body import MemoryBudget
from egretrock_node.protocol.requests._checks import (
    DEADLINE_EXCEEDED,
    IDEMPOTENCY_UNAVAILABLE,
    NODE_STOPPING,
    RequestChecks,
    refusal_after,
)
from egretrock_node.protocol.requests._exchange import (
    Attempt,
    Exchange,
    refusal_not_run,
)
from egretrock_node.protocol.requests._in_force import ConfigInForce
from egretrock_node.protocol.requests._ports import (
    CallerPort,
    CoordinationParts,
    PipelineSettings,
    ProcessServices,
    TargetPort,
)
from egretrock_node.protocol.requests._suspicions import CrashEvidence
from egretrock_node.protocol.requests._target_waiters import (
    TargetWaiters,
    WorkTimes,
)
from egretrock_node.protocol.requests._token_waiters import TokenWaiters
from egretrock_node.protocol.requests._values import (
    NO_ORGANISATION,
    AttemptFailure,
    RequestSnapshot,
    Stage,
)

_log = logbook.Logger("egretrock.requests")
#: Weight of the newest sample in the moving average of the slot time, which
#: is the time from sending a request to the end of its answer.
_SLOT_TIME_WEIGHT = 0.05
#: An attempt without progress for this many mean slot times is treated as
#: stalled rather than slow.
_SILENCE_LIMIT_SLOT_TIMES = 20.0
#: Maximum number of unusable permits per request: expired ones, or ones for a
#: target that was removed, moved or taken out of service. After one more the
#: request is refused.
_MAX_UNUSABLE_PERMITS = 20
#: A request is sent in a drain only if this many mean slot times are left.
_DRAIN_SLOT_TIMES = 3.0
_OUTCOME_BY_REASON = {
    RetryReason.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
    RetryReason.CONNECTION_LOST: AttemptOutcome.LOST,
    RetryReason.SHED: AttemptOutcome.SHED,
    RetryReason.DRAINING: AttemptOutcome.SHED,
    RetryReason.PROGRESS_TIMEOUT: AttemptOutcome.TIMEOUT,
}


class RequestPipeline:
    """Runs each request through its steps.

    A request's head is checked; its body is read until it is complete or its
    buffer is full; a request with an idempotency key begins its record; crash
    quarantine and rate limit are checked, with a wait for tokens that are
    expected soon; it waits in the fair queue and for a permit for a target;
    it is sent, and sent again to another target if the attempt fails and a
    retry is allowed; the answer is forwarded. A request that fails a step is
    refused.

    It owns no sockets and no timers. The transport calls ``start`` and the
    methods of the exchange; the daemon calls ``on_tick`` every few
    milliseconds and ``poll`` after messages from other nodes.

    It delegates the checks to ``RequestChecks``, the waits to ``TokenWaiters``
    and ``TargetWaiters``, and the search for crashes to ``CrashEvidence``.

    Args:
        parts: The coordination parts.
        targets: Connections to targets.
        environment: Clock, outgoing messages and counters.
        settings: Limits and timeouts.
        credentials: Adapter that extracts the API key of a request.
        protocol: Adapter for the protocol of the targets.
        incarnation: Incarnation of the process.
        caller_protocol: Adapter for the request id and deadline that callers
            may send, and for the form of refusals.
    """

    def __init__(
        self,
        parts: CoordinationParts,
        targets: TargetPort,
        environment: ProcessServices,
        settings: PipelineSettings,
        credentials: Credentials,
        protocol: TargetProtocol,
        incarnation: Incarnation,
        caller_protocol: CallerProtocol | None = None,
    ) -> None:
        self._parts = parts
        self._targets = targets
        self._clock = environment.clock
        self._send_out = environment.send
        self.counters: Counters = environment.counters
        self._on_error = environment.on_error
        self.settings = settings
        self.body_budget = MemoryBudget(settings.max_held_body_bytes)
        self.body_budget.count_unsent = lambda: targets.unsent_bytes
        self.answer_budget = MemoryBudget(settings.max_answer_bytes)
        self.protocol = protocol
        self.caller_protocol = caller_protocol or CallerProtocol()
        self._ids = RequestIds(incarnation)
        self._awaiting_record: dict[AttemptId, Exchange] = {}
        # Keyed by exchange: callers may choose ids, so ids can repeat.
        self._in_flight: dict[Exchange, None] = {}
        self._config_in_force = ConfigInForce(
            settings.data_centre, environment.rng
        )
        self._checks = RequestChecks(
            parts.fleet,
            credentials,
            self._config_in_force,
            self._current_routing,
            self.answer_budget,
            settings,
            self.counters,
        )
        self._crash_evidence = CrashEvidence(
            parts.quarantine, self.counters, self._clock, self._send
        )
        self._slot_time_s: dict[ServiceId, float] = {}
        self._work_times = WorkTimes()
        self._target_waiters = TargetWaiters(
            parts, self._work_times, self._clock, self._send, self._connect
        )
        self._token_waiters = TokenWaiters(
            parts.limits,
            self._checks.recheck,
            self._target_waiters.enqueue,
            self._send,
        )

    def now(self) -> float:
        """Returns the time of the node's clock, in seconds."""
        return self._clock()

    # Entry points of the transport and the daemon.

    def start(self, head: RequestHead, caller: CallerPort) -> Exchange:
        """Starts an exchange for a request and checks its head."""
        now_s = self.now()
        terms = self.caller_protocol.read_options(head.headers)
        request_id = terms.request_id or self._ids.generate()
        exchange = Exchange(self, caller, head, request_id, now_s)
        exchange.caller_deadline_ms = terms.deadline_ms
        self._in_flight[exchange] = None
        refusal = self._checks.check_head(exchange, now_s)
        if refusal is not None:
            exchange.refuse(refusal)
        elif head.expects_continue:
            exchange.send_continue()
        return exchange

    def on_tick(self, now_s: float) -> None:
        """Ends expired requests and abandons attempts without progress."""
        for exchange in list(self._in_flight):
            try:
                self._check_time(exchange, now_s)
            except Exception as error:
                # The requests after this one still end at their deadlines.
                self._on_error("request", error)
        self._target_waiters.on_tick(now_s)
        self.poll(now_s)

    def _check_time(self, exchange: Exchange, now_s: float) -> None:
        if now_s >= exchange.deadline_s:
            self._expire(exchange)
        elif exchange.silent_s(now_s) >= self._silence_limit_s(
            exchange
        ) and self._is_worth_abandoning(exchange):
            self._retry_silent(exchange, now_s)

    def poll(self, now_s: float) -> None:
        """Processes new decisions of the coordination parts."""
        for result in self._parts.idempotency.poll(now_s):
            self._on_begin_result(result, now_s)
        self._token_waiters.serve(now_s)
        self._target_waiters.poll(now_s)

    def refuse_new_requests(self) -> None:
        """Refuses all new requests from now on; used at the end of a drain."""
        self._checks.refuse_new_requests()

    def start_drain(self, refuse_from_s: float, end_s: float) -> None:
        """Prepares for a drain that aborts the open requests at ``end_s``.

        Args:
            refuse_from_s: Time from which new requests whose deadline is after
                ``end_s`` are refused, as they may still run then.
            end_s: Earliest time at which open requests are aborted.
        """
        self._checks.start_drain(refuse_from_s, end_s)

    def snapshots(self) -> list[RequestSnapshot]:
        """Returns the requests that have no complete answer yet."""
        now_s = self.now()
        return [e.snapshot(now_s) for e in self._in_flight]

    @property
    def in_flight_count(self) -> int:
        """Number of requests that have no complete answer yet."""
        return len(self._in_flight)

    def refuse_body(self, exchange: Exchange) -> None:
        """Refuses a request whose body exceeds the node's body budget."""
        self.cancel_pending(exchange, AttemptOutcome.UNUSED)
        self.counters.increment("bodies.memory_full")
        message = f"{self.body_budget.recount()} bytes of bodies wait"
        exchange.refuse(
            Refusal(RefusalCode.QUEUE_FULL, RunState.NOT_RUN, message, 1000)
        )

    def abort_requests(self) -> list[RequestSnapshot]:
        """Aborts all requests and returns their state before that."""
        report = self.snapshots()
        message = "the node stopped before the request was complete"
        for exchange in list(self._in_flight):
            with isolated("request", self._on_error):
                self.cancel_pending(exchange, AttemptOutcome.CANCELLED)
                exchange.refuse(
                    refusal_not_run(RefusalCode.NODE_DRAINING, message)
                )
        return report

    # Events of the connection pool.

    def on_connection_lost(self, address: str) -> None:
        """Handles the closing of an idle connection by a target."""
        now_s = self.now()
        for service, target in self._config_in_force.targets_at(address):
            self._send(
                self._parts.permits.on_connection_lost(service, target, now_s)
            )

    def on_pool_empty(self, address: str) -> None:
        """Handles the closing of the last connection to a target."""
        now_s = self.now()
        for service, target in self._config_in_force.targets_at(address):
            self._send(
                self._parts.permits.on_pool_empty(service, target, now_s)
            )

    # Steps of a request.

    def on_body_ready(self, exchange: Exchange) -> None:
        """Checks a request again and begins its record or queues it.

        Called once the body is complete or its buffer is full.
        """
        now_s = self.now()
        _log.debug(
            "request read",
            extra={
                "request_id": exchange.request_id,
                "route": exchange.match.id,
                "service": exchange.match.route.service,
                "organisation": exchange.organisation,
                "left_ms": round((exchange.deadline_s - now_s) * 1000),
            },
        )
        refusal = self._checks.recheck(exchange, now_s)
        if refusal is None:
            refusal = self._checks.check_node(exchange, now_s)
        if refusal is not None:
            exchange.refuse(refusal)
        elif exchange.record is None:
            self._admit_to_queue(exchange, now_s)
        else:
            exchange.stage = Stage.IDEMPOTENCY
            exchange.record_attempt = AttemptId(exchange.request_id)
            self._awaiting_record[exchange.record_attempt] = exchange
            self._send(
                self._parts.idempotency.begin(
                    exchange.record, exchange.record_attempt, now_s
                )
            )
            self.poll(now_s)

    def _on_begin_result(self, result: BeginResult, now_s: float) -> None:
        exchange = self._awaiting_record.pop(result.record_attempt, None)
        if exchange is None:
            return
        if exchange.is_done:
            if result.outcome is BeginOutcome.FIRST:
                # The caller disconnected before the request was sent, so the
                # key is released.
                self._complete_record(exchange, RunState.NOT_RUN, None, now_s)
            return
        if result.outcome is BeginOutcome.FIRST:
            exchange.dispatch_until_s = result.dispatch_until_s
            refusal = self._checks.recheck(exchange, now_s)
            if refusal is not None:
                exchange.refuse(refusal)
            else:
                self._admit_to_queue(exchange, now_s)
            return
        # Another request owns the record, so this one must not complete it.
        exchange.record = None
        if result.outcome is BeginOutcome.SEEN:
            state = result.run_state
            status = f", status {result.status}" if result.status else ""
            message = (
                "the Idempotency-Key was used before; run state of the first"
                f" request: {state.value}{status}"
            )
            code = RefusalCode.DUPLICATE_REQUEST
            exchange.refuse(Refusal(code, state, message))
        else:
            exchange.refuse(IDEMPOTENCY_UNAVAILABLE)

    def _admit_to_queue(self, exchange: Exchange, now_s: float) -> None:
        """Queues a request that passes quarantine and rate limit.

        If a token is expected soon, the request waits for it.
        """
        fingerprint = exchange.compute_fingerprint()
        checked = self._parts.quarantine.check(fingerprint, now_s)
        if checked.is_error():
            exchange.refuse(checked.error)
            return
        organisation = exchange.organisation
        if organisation is None:
            self._target_waiters.enqueue(exchange, now_s)
        else:
            self._token_waiters.admit(exchange, organisation, now_s)

    def _connect(self, exchange: Exchange, permit: Permit) -> None:
        """Starts an attempt with a permit."""
        exchange.stage = Stage.CONNECTING
        attempt = Attempt(exchange, self, permit)
        exchange.attempt = attempt
        attempt.handle = self._targets.create_attempt(
            permit.address,
            exchange.request_id.encode(),
            not exchange.is_idempotent,
            attempt,
        )
        attempt.handle.start()

    # Checks that are repeated before each step.

    def prepare_dispatch(
        self, exchange: Exchange, attempt: Attempt, now_s: float
    ) -> bool:
        """Repeats the checks of a request right before it is sent.

        If one fails, refuses the request or requests another permit.

        Returns:
            Whether the request may be sent now; it is then counted as sent.
        """
        refusal = self._checks.recheck(exchange, now_s)
        if refusal is None and self._is_cut_by_drain(exchange, now_s):
            refusal = NODE_STOPPING
        if refusal is None:
            checked = self._parts.quarantine.check(exchange.fingerprint, now_s)
            refusal = checked.error if checked.is_error() else None
        if refusal is None and now_s >= exchange.dispatch_until_s:
            refusal = IDEMPOTENCY_UNAVAILABLE
        if refusal is not None:
            self._discard_attempt(
                exchange, attempt, AttemptOutcome.UNUSED, now_s
            )
            exchange.refuse(refusal)
            return False
        usable = self._is_usable(exchange, attempt.permit)
        if (
            usable
            and self._config_in_force.has_address(
                exchange.match.route.service,
                attempt.permit.target,
                attempt.permit.address,
            )
            and self._parts.permits.may_dispatch(attempt.permit, now_s)
        ):
            if exchange.attempt_count == 0:
                self._parts.retries.on_first_attempt(
                    exchange.match.route.service, now_s
                )
            exchange.attempt_count += 1
            self.counters.observe("requests.waited", now_s - exchange.started_s)
            _log.debug(
                "request sent",
                extra={
                    "request_id": exchange.request_id,
                    "target": attempt.permit.target,
                    "instance": attempt.permit.instance,
                    "address": attempt.permit.address,
                    "chosen_by": attempt.permit.choice_reason,
                    "left_ms": round((exchange.deadline_s - now_s) * 1000),
                    "age_ms": exchange.age_ms(),
                    "try": exchange.attempt_count,
                },
            )
            return True
        self.counters.increment("permits.unused")
        self._discard_attempt(exchange, attempt, AttemptOutcome.UNUSED, now_s)
        exchange.unusable_permits += 1
        if not usable:
            exchange.excluded |= {attempt.permit.target}
        if not self._has_other_target(exchange, exchange.excluded):
            message = "no target of the service is in service"
            exchange.refuse(refusal_not_run(RefusalCode.NO_TARGET, message))
        elif exchange.unusable_permits > _MAX_UNUSABLE_PERMITS:
            message = f"{_MAX_UNUSABLE_PERMITS} permits in turn were not usable"
            exchange.refuse(refusal_not_run(RefusalCode.NO_TARGET, message))
        else:
            self._target_waiters.request_another(exchange, now_s)
        return False

    def _is_cut_by_drain(self, exchange: Exchange, now_s: float) -> bool:
        """Returns whether the drain may abort a request that is sent now."""
        if exchange.deadline_s <= self._checks.serves_until_s:
            return False
        mean_s = self._slot_time_s.get(exchange.match.route.service, 0.0)
        return now_s + _DRAIN_SLOT_TIMES * mean_s > self._checks.serves_until_s

    def _is_usable(self, exchange: Exchange, permit: Permit) -> bool:
        service = exchange.match.route.service
        return self._config_in_force.is_usable(service, permit.target)

    def _has_other_target(
        self, exchange: Exchange, excluded: frozenset[TargetId]
    ) -> bool:
        """Returns whether the service has a target that is not excluded."""
        service = exchange.match.route.service
        return self._config_in_force.has_other_target(service, excluded)

    def _current_routing(self, now_s: float) -> Routing | None:
        config = self._parts.fleet.config()
        if config is None:
            return None
        if self._config_in_force.update(config, now_s):
            self._remove_unlisted(config)
        return self._config_in_force.routing

    def _remove_unlisted(self, config: PublishedConfig) -> None:
        listed = {t for s in config.services.values() for t in s.targets}
        self._crash_evidence.retain(listed)
        for service in self._slot_time_s.keys() - config.services.keys():
            del self._slot_time_s[service]
        self._work_times.retain(config.routes.keys())

    # Events of attempts and exchanges.

    def _silence_limit_s(self, exchange: Exchange) -> float:
        """Returns after how many seconds without progress to end an attempt."""
        match = exchange.match
        if match is None:
            return float("inf")
        longest_s = (
            match.profile.deadline_ms / 1000 * self.settings.progress_ratio
        )
        mean_s = self._slot_time_s.get(match.route.service)
        if mean_s is None:
            # The slot time is unknown until the first answer.
            return longest_s
        limit_s = max(
            self.settings.min_progress_s, _SILENCE_LIMIT_SLOT_TIMES * mean_s
        )
        return min(longest_s, limit_s)

    def _is_worth_abandoning(self, exchange: Exchange) -> bool:
        """Returns whether another target may answer instead of a silent one.

        If not, the answer may still arrive, or go on, before the deadline.
        """
        attempt = exchange.attempt
        if exchange.stage is Stage.ANSWERING or attempt.is_kept:
            return False
        if exchange.deadline_s > self._checks.serves_until_s:
            # The drain may abort a second attempt that the first, which
            # started earlier, does not need.
            return False
        excluded = exchange.excluded | {attempt.permit.target}
        return exchange.is_idempotent and self._has_other_target(
            exchange, excluded
        )

    def on_instance_seen(
        self, target: TargetId, instance: InstanceId | None
    ) -> None:
        """Records which instance of a target answered."""
        self._crash_evidence.on_instance_seen(target, instance)

    def on_limit_reported(self, target: TargetId, report: LimitReport) -> None:
        """Passes on what an answer says about the limit of its target."""
        self._send(
            self._parts.permits.on_limit_reported(target, report, self.now())
        )

    def on_attempt_answered(
        self, exchange: Exchange, attempt: Attempt, result: AttemptResult
    ) -> None:
        """Handles an attempt that ended with a complete answer."""
        now_s = self.now()
        exchange.attempt = None
        self._return_permit(exchange, attempt, result, now_s)
        service = exchange.match.route.service
        if result.outcome is AttemptOutcome.OK:
            self._parts.queue.report_work(
                service,
                exchange.match.id,
                result.latency_s,
                attempt.permit.expected_slowdown,
                now_s,
            )
        mean_s = self._slot_time_s.get(service, result.latency_s)
        self._slot_time_s[service] = mean_s + _SLOT_TIME_WEIGHT * (
            result.latency_s - mean_s
        )
        self._send(self._parts.quarantine.clear(exchange.fingerprint, now_s))

    def on_attempt_failed(
        self, exchange: Exchange, attempt: Attempt, failure: AttemptFailure
    ) -> None:
        """Handles an attempt that ended without a complete answer."""
        now_s = self.now()
        exchange.attempt = None
        # If the target reports that it did not run the request, only the
        # earlier attempts can have run it.
        if attempt.is_sent and failure.run_state is RunState.NOT_RUN:
            exchange.run_state = attempt.earlier_run_state
        result = attempt.result(_OUTCOME_BY_REASON[failure.reason])
        self._return_permit(exchange, attempt, result, now_s)
        target = attempt.permit.target
        if failure.is_connection_refused:
            self._crash_evidence.on_connection_refused(target, now_s)
        answering = exchange.stage is Stage.ANSWERING
        is_lost = (
            failure.reason is RetryReason.CONNECTION_LOST and attempt.is_sent
        )
        if is_lost:
            self._crash_evidence.suspect(
                exchange.fingerprint, attempt.permit, now_s
            )
            if not answering and self._is_retryable(exchange, attempt):
                exchange.stage = Stage.CHECKING

            def on_checked(is_alive: bool | None) -> None:
                self._on_liveness_checked(exchange, attempt, failure, is_alive)

            self._targets.check_alive(attempt.permit.address, on_checked)
            if exchange.stage is Stage.CHECKING or exchange.is_done:
                return
        if answering:
            exchange.abort_answer(failure.message)
        else:
            self._retry(exchange, attempt, failure, None, now_s)

    def _on_liveness_checked(
        self,
        exchange: Exchange,
        attempt: Attempt,
        failure: AttemptFailure,
        is_alive: bool | None,
    ) -> None:
        """Handles the result of the liveness check after a lost connection."""
        now_s = self.now()
        if is_alive is False:
            self._crash_evidence.on_connection_refused(
                attempt.permit.target, now_s
            )
        if exchange.stage is not Stage.CHECKING:
            return
        self._retry(exchange, attempt, failure, is_alive, now_s)

    def _is_retryable(self, exchange: Exchange, attempt: Attempt) -> bool:
        if not attempt.is_sent:
            return True
        return exchange.is_idempotent and exchange.body.replayable

    def _retry(
        self,
        exchange: Exchange,
        attempt: Attempt,
        failure: AttemptFailure,
        is_alive: bool | None,
        now_s: float,
    ) -> None:
        refusal = self._checks.recheck(exchange, now_s)
        if refusal is not None:
            exchange.refuse(refusal)
        elif self._is_retry_allowed(
            exchange, attempt, failure, is_alive, now_s
        ):
            self._send_again(exchange, attempt, now_s)
        else:
            exchange.refuse(refusal_after(failure))

    def _is_retry_allowed(
        self,
        exchange: Exchange,
        attempt: Attempt,
        failure: AttemptFailure,
        is_alive: bool | None,
        now_s: float,
    ) -> bool:
        """Returns whether to retry, and takes it from the budget if so."""
        excluded = exchange.excluded | {attempt.permit.target}
        if not self._is_retryable(exchange, attempt):
            return False
        if not self._has_other_target(exchange, excluded):
            return False
        decision = self._parts.retries.decide_retry(
            RetryState(
                service=exchange.match.route.service,
                idempotent=exchange.is_idempotent,
                attempt_count=exchange.attempt_count,
                tried_targets=excluded,
                deadline_s=exchange.deadline_s,
                fingerprint=exchange.fingerprint,
                max_tries=exchange.match.route.max_tries,
            ),
            FailedAttempt(failure.reason, attempt.is_sent, is_alive),
            now_s,
        )
        _log.info(
            "try failed",
            extra={
                "request_id": exchange.request_id,
                "target": attempt.permit.target,
                "reason": failure.reason.value,
                "text": failure.message,
                "run_state": failure.run_state.value,
                "target_alive": is_alive,
                "sent_again": decision.allowed,
                "not_again_because": decision.refusal
                and decision.refusal.value,
                "age_ms": exchange.age_ms(),
            },
        )
        return decision.allowed

    def _send_again(
        self, exchange: Exchange, attempt: Attempt, now_s: float
    ) -> None:
        exchange.excluded |= {attempt.permit.target}
        self._target_waiters.enqueue(exchange, now_s)

    def cancel_pending(
        self, exchange: Exchange, outcome: AttemptOutcome
    ) -> None:
        """Removes a request from all queues and abandons its attempt."""
        now_s = self.now()
        self._target_waiters.cancel(exchange, now_s)
        attempt = exchange.attempt
        if attempt is not None and attempt.is_active:
            silent_s = exchange.silent_s(now_s)
            attempt.abandon(silent_s >= self._silence_limit_s(exchange))
            self._discard_attempt(exchange, attempt, outcome, now_s)

    def on_exchange_end(
        self, exchange: Exchange, outcome: str, status: int | None
    ) -> None:
        """Frees the resources of an ended exchange; completes its record."""
        self._in_flight.pop(exchange, None)
        self.cancel_pending(exchange, AttemptOutcome.CANCELLED)
        if exchange.must_report_slot_time:
            self._parts.queue.report_slot_time(
                exchange.organisation or NO_ORGANISATION,
                exchange.match.route.service,
                exchange.slot_time_s,
            )
        self.counters.increment(f"requests.{outcome}")
        now_s = self.now()
        if (
            exchange.record_attempt is not None
            and exchange.record is not None
            and exchange.record_attempt not in self._awaiting_record
        ):
            answered = outcome == "answered"
            state = RunState.RUN if answered else exchange.run_state
            self._complete_record(
                exchange, state, status if answered else None, now_s
            )
        if self._target_waiters.awaits_permit:
            # If this node is the home, the returned permit may have been
            # granted to another request synchronously.
            self._target_waiters.poll(now_s)

    def _complete_record(
        self,
        exchange: Exchange,
        run_state: RunState,
        status: int | None,
        now_s: float,
    ) -> None:
        self._send(
            self._parts.idempotency.complete(
                exchange.record,
                exchange.record_attempt,
                run_state,
                status,
                now_s,
            )
        )

    def _expire(self, exchange: Exchange) -> None:
        self.cancel_pending(exchange, AttemptOutcome.TIMEOUT)
        exchange.refuse(DEADLINE_EXCEEDED)

    def _retry_silent(self, exchange: Exchange, now_s: float) -> None:
        """Sends a request again whose target is silent, or waits on.

        The attempt is abandoned only once the retry is allowed: otherwise the
        silent target is the only one that can still answer.
        """
        attempt = exchange.attempt
        failure = AttemptFailure(
            RetryReason.PROGRESS_TIMEOUT,
            RunState.UNKNOWN,
            "the target made no progress",
        )
        if self._checks.recheck(
            exchange, now_s
        ) is not None or not self._is_retry_allowed(
            exchange, attempt, failure, None, now_s
        ):
            attempt.is_kept = True
            return
        attempt.abandon(silent=True)
        outcome = _OUTCOME_BY_REASON[failure.reason]
        self._discard_attempt(exchange, attempt, outcome, now_s)
        self._send_again(exchange, attempt, now_s)

    def _discard_attempt(
        self,
        exchange: Exchange,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now_s: float,
    ) -> None:
        """Ends an attempt that is abandoned or was not sent.

        Its permit is returned.
        """
        attempt.end()
        exchange.attempt = None
        self._return_permit(exchange, attempt, attempt.result(outcome), now_s)

    def _return_permit(
        self,
        exchange: Exchange,
        attempt: Attempt,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        self._send(self._parts.permits.finish(attempt.permit, result, now_s))
        exchange.slot_time_s += result.latency_s
        if result.outcome is AttemptOutcome.OK:
            self._work_times.on_answer(
                exchange.match.id,
                result.latency_s,
                attempt.permit.expected_slowdown,
            )

    def _send(self, messages: list[Outbound]) -> None:
        if messages:
            self._send_out(messages)
