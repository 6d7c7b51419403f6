"""The steps of a request, from its head to its answer or refusal."""

import collections
import itertools

import logbook

from egretrock.coordination.base import Counters, Outbound, isolated
from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.idempotency import (
    BeginOutcome,
    BeginResult,
    record_key,
)
from egretrock.coordination.queueing import CallerAges, QueuedRequest
from egretrock.coordination.retries import FailedAttempt, RetryState
from egretrock.coordination.targets import (
    Assignment,
    AttemptOutcome,
    AttemptResult,
    Permit,
    RequestStake,
)
from egretrock.state.config import (
    Access,
    PublishedConfig,
)
from egretrock.state.ids import (
    AttemptId,
    Incarnation,
    InstanceId,
    OrganisationId,
    ServiceId,
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
    CallerProtocol,
    Credentials,
    RequestHead,
    RequestIds,
    Routing,
    TargetProtocol,
    bad_request,
    digest_key,
    filter_request_headers,
    header_values,
    path_contains_key,
)
from egretrock_node.protocol.requests._exchange import (
    Attempt,
    Exchange,
    refusal_not_run,
)
from egretrock_node.protocol.requests._in_force import ConfigInForce
from egretrock_node.protocol.requests._memory import MemoryBudget
from egretrock_node.protocol.requests._ports import (
    CallerPort,
    CoordinationParts,
    PipelineSettings,
    ProcessServices,
    TargetPort,
)
from egretrock_node.protocol.requests._refusals import (
    DEADLINE_EXCEEDED,
    IDEMPOTENCY_UNAVAILABLE,
    KEY_UNKNOWN,
    NODE_STOPPING,
    NOT_FRESH,
    NOT_READY,
    refusal_after,
)
from egretrock_node.protocol.requests._suspicions import (
    CrashSuspicion,
    CrashSuspicions,
)
from egretrock_node.protocol.requests._values import (
    NO_ORGANISATION,
    AttemptFailure,
    RequestSnapshot,
    Stage,
)
from egretrock_node.protocol.requests._work_times import WorkTimes

_log = logbook.Logger("egretrock.requests")
_MAX_IDEMPOTENCY_KEY_BYTES = 255
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
#: Requests of one organisation that may wait for a token at the same time.
_MAX_TOKEN_WAITERS = 500
#: A request is sent in a drain only if this many mean slot times are left.
_DRAIN_SLOT_TIMES = 3.0
#: Delay after which another permit is requested for a request that could not
#: use one. It bounds the rate of the probes that a slow service causes.
_PERMIT_RETRY_S = 0.02
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
        self._credentials = credentials
        self.protocol = protocol
        self.caller_protocol = caller_protocol or CallerProtocol()
        self._ids = RequestIds(incarnation)
        self._tickets = itertools.count(1)
        self._awaiting_permit: dict[TicketId, Exchange] = {}
        self._queued: dict[TicketId, Exchange] = {}
        #: Tickets whose permits were declined, and when to request others.
        self._declined_until_s: dict[TicketId, float] = {}
        self._token_waiters: dict[
            OrganisationId, collections.deque[Exchange]
        ] = {}
        self._awaiting_record: dict[AttemptId, Exchange] = {}
        # Keyed by exchange: callers may choose ids, so ids can repeat.
        self._in_flight: dict[Exchange, None] = {}
        self._config_in_force = ConfigInForce(
            settings.data_centre, environment.rng
        )
        self._instances: dict[TargetId, InstanceId] = {}
        self._suspicions = CrashSuspicions()
        self._slot_time_s: dict[ServiceId, float] = {}
        self._caller_ages = CallerAges()
        self._work_times = WorkTimes()
        self._refuses_new = False
        self._refuses_from_s = self._serves_until_s = float("inf")
        self._is_polling_permits = False
        self._poll_permits_again = False

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
        refusal = self._check_head(exchange, now_s)
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
        self._parts.queue.expire(now_s)
        self._refuse_evicted()
        self._request_declined_again(now_s)
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
        for organisation in list(self._token_waiters):
            self._serve_token_waiters(organisation, now_s)
        self._poll_permits(now_s)

    def refuse_new_requests(self) -> None:
        """Refuses all new requests from now on; used at the end of a drain."""
        self._refuses_new = True

    def start_drain(self, refuse_from_s: float, end_s: float) -> None:
        """Prepares for a drain that aborts the open requests at ``end_s``.

        Args:
            refuse_from_s: Time from which new requests whose deadline is after
                ``end_s`` are refused, as they may still run then.
            end_s: Earliest time at which open requests are aborted.
        """
        self._refuses_from_s = refuse_from_s
        self._serves_until_s = end_s

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

    def _check_head(self, exchange: Exchange, now_s: float) -> Refusal | None:
        head = exchange.head
        presented = self._credentials.extract(head.headers, head.query)
        if presented.is_error():
            return presented.error
        routing = self._current_routing(now_s)
        if routing is None:
            return NOT_READY
        key = presented.ok.key
        if key is not None and path_contains_key(key, head.path):
            return bad_request("the key must not stand in the path")
        hosts = header_values(head.headers, b"host")
        found = routing.match(head.path, head.method, hosts[0])
        if found.is_error():
            return found.error
        match = found.ok
        exchange.match = match
        exchange.headers = filter_request_headers(presented.ok.headers)
        exchange.query = presented.ok.query
        deadline_ms = match.profile.deadline_ms
        if exchange.caller_deadline_ms is not None:
            deadline_ms = min(deadline_ms, exchange.caller_deadline_ms)
        exchange.deadline_s = now_s + deadline_ms / 1000
        exchange.objective_s = exchange.deadline_s
        if match.route.target_latency_ms is not None:
            exchange.objective_s = (
                now_s
                + match.route.target_latency_ms / 1000
                - self._caller_age_s(exchange)
            )
        if match.route.access is Access.KEYED:
            if key is None:
                message = "the route needs a key and the request has none"
                return refusal_not_run(RefusalCode.KEY_MISSING, message)
            exchange.digest = digest_key(key)
            exchange.organisation = routing.organisation_of(exchange.digest)
            if exchange.organisation is None:
                return KEY_UNKNOWN
        refusal = self._check_node(exchange, now_s)
        if refusal is not None or match.route.idempotent:
            return refusal
        return self._read_record_key(exchange)

    def _caller_age_s(self, exchange: Exchange) -> float:
        """Returns the seconds since the first attempt of a caller."""
        left_ms = exchange.caller_deadline_ms
        if left_ms is None:
            return 0.0
        return self._caller_ages.age_s(exchange.match.id, left_ms)

    def _check_node(self, exchange: Exchange, now_s: float) -> Refusal | None:
        fleet = self._parts.fleet
        if not fleet.is_fresh(now_s):
            return NOT_FRESH
        if not fleet.is_ready(now_s):
            return NOT_READY
        if self._refuses_new or (
            now_s >= self._refuses_from_s
            and exchange.deadline_s > self._serves_until_s
        ):
            return NODE_STOPPING
        if self.answer_budget.exceeds_hard_limit:
            self.counters.increment("answers.memory_full")
            message = (
                f"{self.answer_budget.recount()} bytes of answers wait for"
                " callers that read slowly"
            )
            return Refusal(
                RefusalCode.QUEUE_FULL, RunState.NOT_RUN, message, 1000
            )
        out_since_s = self._config_in_force.out_since_s
        if (
            out_since_s is not None
            and now_s - out_since_s >= self.settings.out_grace_s
        ):
            message = (
                f"data centre {self.settings.data_centre!r} is out of service"
            )
            return refusal_not_run(RefusalCode.DATA_CENTRE_OUT, message)
        return None

    def _read_record_key(self, exchange: Exchange) -> Refusal | None:
        values = header_values(exchange.head.headers, b"idempotency-key")
        if not values:
            return None
        value = values[0].strip()
        if len(values) > 1 or not value:
            return bad_request("Idempotency-Key must be given once, not empty")
        if len(value) > _MAX_IDEMPOTENCY_KEY_BYTES:
            return bad_request(
                f"Idempotency-Key has {len(value)} bytes;"
                f" at most {_MAX_IDEMPOTENCY_KEY_BYTES} are allowed"
            )
        exchange.record = record_key(
            exchange.organisation or NO_ORGANISATION,
            exchange.match.id,
            value.decode("latin-1"),
        )
        return None

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
        refusal = self._recheck(exchange, now_s)
        if refusal is None:
            refusal = self._check_node(exchange, now_s)
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
            refusal = self._recheck(exchange, now_s)
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
            self._enqueue(exchange, now_s)
            return
        if organisation in self._token_waiters:
            self._serve_token_waiters(organisation, now_s)
        limits = self._parts.limits
        admitted = limits.admit(organisation, now_s)
        if admitted.is_ok():
            self._enqueue(exchange, now_s)
            return
        self._send(limits.request_tokens(organisation, now_s))
        # If this node is the organisation's home, it may have granted tokens
        # synchronously.
        if limits.admit(organisation, now_s, is_recheck=True).is_ok():
            self._enqueue(exchange, now_s)
            return
        until_s = limits.wait_until_s(organisation, now_s)
        waiters = self._token_waiters.get(organisation)
        if until_s is None or (waiters and len(waiters) >= _MAX_TOKEN_WAITERS):
            exchange.refuse(admitted.error)
            return
        exchange.stage = Stage.TOKEN
        exchange.token_until_s = until_s
        if waiters is None:
            waiters = self._token_waiters[organisation] = collections.deque()
        waiters.append(exchange)

    def _serve_token_waiters(
        self, organisation: OrganisationId, now_s: float
    ) -> None:
        """Admits waiting requests in order while tokens are available."""
        waiters = self._token_waiters.pop(organisation)
        limits = self._parts.limits
        while waiters:
            exchange = waiters[0]
            if not exchange.is_done:
                refusal = self._recheck(exchange, now_s)
                if refusal is None:
                    admitted = limits.admit(
                        organisation, now_s, is_recheck=True
                    )
                    if admitted.is_error():
                        if now_s < exchange.token_until_s:
                            self._send(
                                limits.request_tokens(organisation, now_s)
                            )
                            # Ending an exchange may have let its caller start
                            # another, which began a new deque.
                            newer = self._token_waiters.get(organisation, ())
                            waiters.extend(newer)
                            self._token_waiters[organisation] = waiters
                            return
                        refusal = admitted.error
                if refusal is None:
                    self._enqueue(exchange, now_s)
                else:
                    exchange.refuse(refusal)
            waiters.popleft()

    def _enqueue(self, exchange: Exchange, now_s: float) -> None:
        ticket = self._new_ticket(exchange)
        item = QueuedRequest(
            ticket=ticket,
            service=exchange.match.route.service,
            organisation=exchange.organisation or NO_ORGANISATION,
            deadline_s=exchange.deadline_s,
            objective_s=exchange.objective_s,
            priority=self._priority_of(exchange),
            route=exchange.match.id,
            is_repeat=exchange.attempt_count > 0,
            is_charged=exchange.must_report_slot_time,
            is_repeatable=exchange.is_idempotent,
            excluded=exchange.excluded,
        )
        queue = self._parts.queue
        offered = queue.offer(item, now_s)
        if offered.is_error():
            del self._awaiting_permit[ticket]
            exchange.ticket = None
            exchange.refuse(offered.error)
            return
        exchange.queue_ticket = ticket
        self._queued[ticket] = exchange
        # Ending an evicted request polls permits, and the queue may give one
        # to this request, whose ticket then passes to another.
        self._ask_permit(exchange, now_s)
        self._refuse_evicted()

    def _priority_of(self, exchange: Exchange) -> int:
        """Returns the priority of the organisation, else of the route."""
        config = self._parts.fleet.config()
        if config is not None and exchange.organisation is not None:
            organisation = config.organisations.get(exchange.organisation)
            if organisation is not None and organisation.priority is not None:
                return organisation.priority
        return exchange.match.route.priority

    def _refuse_evicted(self) -> None:
        """Refuses the requests that the queue has evicted."""
        queue = self._parts.queue
        for evicted in queue.take_evicted():
            refusal = queue.refusal_of(evicted)
            exchange = self._queued.get(evicted.ticket)
            if exchange is not None:
                self.cancel_pending(exchange, AttemptOutcome.UNUSED)
                exchange.refuse(refusal)

    def _ask_permit(self, exchange: Exchange, now_s: float) -> None:
        exchange.stage = Stage.QUEUED
        self._send(
            self._parts.permits.request(
                exchange.ticket,
                exchange.match.route.service,
                exchange.organisation or NO_ORGANISATION,
                exchange.excluded,
                exchange.deadline_s,
                now_s,
                self._stake_of(exchange),
            )
        )
        self._poll_permits(now_s)

    def _stake_of(self, exchange: Exchange) -> RequestStake | None:
        """Returns what the choice of a target takes into account.

        A route without a target latency does not say when an answer is late,
        so its requests have no stake.
        """
        match = exchange.match
        if match.route.target_latency_ms is None:
            return None
        return RequestStake(
            is_repeatable=exchange.is_idempotent and exchange.body.replayable,
            objective_s=exchange.objective_s,
            deadline_s=exchange.deadline_s,
            work_s=self._work_times.expected_s(match.id),
            priority=self._priority_of(exchange),
        )

    def _poll_permits(self, now_s: float) -> None:
        """Assigns the permits that have arrived to waiting requests.

        Using a permit can make the next one available and so call this
        method again; such a nested call only makes the outer loop repeat.
        """
        self._poll_permits_again = True
        if self._is_polling_permits:
            return
        self._is_polling_permits = True
        try:
            while self._poll_permits_again:
                self._poll_permits_again = False
                for assignment in self._parts.permits.poll(now_s):
                    self._on_assignment(assignment, now_s)
        finally:
            self._is_polling_permits = False

    def _on_assignment(self, assignment: Assignment, now_s: float) -> None:
        exchange = self._awaiting_permit.pop(assignment.ticket, None)
        if exchange is not None and exchange.queue_ticket is not None:
            exchange = self._next_queued(exchange, assignment.permit, now_s)
        if exchange is None:
            unused = AttemptResult(AttemptOutcome.UNUSED)
            self._send(
                self._parts.permits.finish(assignment.permit, unused, now_s)
            )
            return
        exchange.ticket = None
        exchange.stage = Stage.CONNECTING
        attempt = Attempt(exchange, self, assignment.permit)
        exchange.attempt = attempt
        attempt.handle = self._targets.create_attempt(
            assignment.permit.address,
            exchange.request_id.encode(),
            not exchange.is_idempotent,
            attempt,
        )
        attempt.handle.start()

    def _next_queued(
        self, requester: Exchange, permit: Permit, now_s: float
    ) -> Exchange | None:
        """Returns the request that the queue serves next, or None.

        The returned request uses the permit that was granted for the ticket
        of ``requester``. In exchange ``requester`` waits on with the ticket of
        the returned request. If no request can use the permit, ``requester``
        waits on for another one.
        """
        service = requester.match.route.service
        while item := self._parts.queue.take(
            service,
            now_s,
            permit.expected_slowdown,
            permit.target,
            permit.only_repeatable,
        ):
            chosen = self._queued.pop(item.ticket, None)
            if chosen is None:
                # The caller has disconnected, so no slot time was used.
                if not item.is_charged:
                    self._parts.queue.report_slot_time(
                        item.organisation, service, 0.0
                    )
                continue
            chosen.queue_ticket = None
            chosen.must_report_slot_time = True
            if chosen is not requester:
                requester.ticket = chosen.ticket
                self._awaiting_permit[requester.ticket] = requester
            return chosen
        if now_s >= requester.deadline_s:
            # The queue dropped the requester at its deadline.
            requester.ticket = None
            requester.refuse(DEADLINE_EXCEEDED)
            return None
        _log.debug(
            "permit declined",
            extra={
                "service": service,
                "target": permit.target,
                "slowdown": round(permit.expected_slowdown, 2),
                "left_ms": round((requester.deadline_s - now_s) * 1000),
            },
        )
        self._awaiting_permit[requester.ticket] = requester
        self._declined_until_s[requester.ticket] = now_s + _PERMIT_RETRY_S
        return None

    def _request_declined_again(self, now_s: float) -> None:
        """Requests permits for the requests whose last one was declined."""
        for ticket, until_s in list(self._declined_until_s.items()):
            if now_s < until_s:
                return
            # An earlier one of these permits may have ended the request.
            if self._declined_until_s.pop(ticket, None) is not None:
                self._ask_permit(self._awaiting_permit[ticket], now_s)

    # Checks that are repeated before each step.

    def prepare_dispatch(
        self, exchange: Exchange, attempt: Attempt, now_s: float
    ) -> bool:
        """Repeats the checks of a request right before it is sent.

        If one fails, refuses the request or requests another permit.

        Returns:
            Whether the request may be sent now; it is then counted as sent.
        """
        refusal = self._recheck(exchange, now_s)
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
            self._new_ticket(exchange)
            self._ask_permit(exchange, now_s)
        return False

    def _is_cut_by_drain(self, exchange: Exchange, now_s: float) -> bool:
        """Returns whether the drain may abort a request that is sent now."""
        if exchange.deadline_s <= self._serves_until_s:
            return False
        mean_s = self._slot_time_s.get(exchange.match.route.service, 0.0)
        return now_s + _DRAIN_SLOT_TIMES * mean_s > self._serves_until_s

    def _recheck(self, exchange: Exchange, now_s: float) -> Refusal | None:
        """Repeats the checks whose result may change while a request waits."""
        if now_s >= exchange.deadline_s:
            return DEADLINE_EXCEEDED
        if not self._parts.fleet.is_fresh(now_s):
            return NOT_FRESH
        routing = self._current_routing(now_s)
        if routing is None:
            return NOT_READY
        if exchange.digest is not None:
            owner = routing.organisation_of(exchange.digest)
            if owner != exchange.organisation:
                return KEY_UNKNOWN
        return None

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
        for target in self._instances.keys() - listed:
            del self._instances[target]
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
        if exchange.deadline_s > self._serves_until_s:
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
        """Records which instance of a target answered.

        If another instance than before answers, the earlier one has ended.
        """
        if instance is None or self._instances.get(target) == instance:
            return
        self._instances[target] = instance
        now_s = self.now()
        self._report_crashes(
            self._suspicions.on_answered(target, instance, now_s), now_s
        )

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
            confirmed = self._suspicions.on_connection_refused(target, now_s)
            self._report_crashes(confirmed, now_s)
        answering = exchange.stage is Stage.ANSWERING
        is_lost = (
            failure.reason is RetryReason.CONNECTION_LOST and attempt.is_sent
        )
        if is_lost:
            self._add_suspicion(exchange, attempt, now_s)
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
            confirmed = self._suspicions.on_connection_refused(
                attempt.permit.target, now_s
            )
            self._report_crashes(confirmed, now_s)
        if exchange.stage is not Stage.CHECKING:
            return
        self._retry(exchange, attempt, failure, is_alive, now_s)

    def _add_suspicion(
        self, exchange: Exchange, attempt: Attempt, now_s: float
    ) -> None:
        target = attempt.permit.target
        instance = attempt.permit.instance or self._instances.get(target)
        # If no instance id is reported, the target's name is used instead.
        suspicion = CrashSuspicion(
            exchange.fingerprint, target, instance or InstanceId(target), now_s
        )
        self._suspicions.add(suspicion)

    def _report_crashes(
        self, confirmed: list[CrashSuspicion], now_s: float
    ) -> None:
        for suspicion in confirmed:
            self.counters.increment("crash_evidence")
            self._send(
                self._parts.quarantine.report(
                    suspicion.fingerprint,
                    suspicion.target,
                    suspicion.instance,
                    now_s,
                )
            )

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
        refusal = self._recheck(exchange, now_s)
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
        self._enqueue(exchange, now_s)

    def cancel_pending(
        self, exchange: Exchange, outcome: AttemptOutcome
    ) -> None:
        """Removes a request from all queues and abandons its attempt."""
        now_s = self.now()
        if exchange.ticket is not None:
            ticket = exchange.ticket
            is_declined = self._declined_until_s.pop(ticket, None) is not None
            if (
                self._awaiting_permit.pop(ticket, None) is not None
                and not is_declined
            ):
                self._send(self._parts.permits.cancel(ticket, now_s))
            exchange.ticket = None
        if exchange.queue_ticket is not None:
            self._queued.pop(exchange.queue_ticket, None)
            exchange.queue_ticket = None
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
        if self._awaiting_permit:
            # If this node is the home, the returned permit may have been
            # granted to another request synchronously.
            self._poll_permits(now_s)

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
        if self._recheck(
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

    def _new_ticket(self, exchange: Exchange) -> TicketId:
        ticket = TicketId(next(self._tickets))
        exchange.ticket = ticket
        self._awaiting_permit[ticket] = exchange
        return ticket

    def _send(self, messages: list[Outbound]) -> None:
        if messages:
            self._send_out(messages)
