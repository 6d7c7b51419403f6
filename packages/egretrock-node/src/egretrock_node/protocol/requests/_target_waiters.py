"""The requests that wait for a target: in the fair queue and for a permit."""

import itertools
from collections.abc import Callable, Set

import logbook

from egretrock.coordination.base import Outbound
from egretrock.coordination.queueing import QueuedRequest
from egretrock.coordination.targets import (
    Assignment,
    AttemptOutcome,
    AttemptResult,
    Permit,
    RequestStake,
)
from egretrock.state.ids import RouteId, TicketId
from egretrock_node.protocol.requests._checks import DEADLINE_EXCEEDED
from egretrock_node.protocol.requests._exchange import Exchange
from egretrock_node.protocol.requests._ports import CoordinationParts
from egretrock_node.protocol.requests._values import NO_ORGANISATION, Stage

_log = logbook.Logger("egretrock.requests")
#: Delay after which another permit is requested for a request that could not
#: use one. It bounds the rate of the probes that a slow service causes.
_PERMIT_RETRY_S = 0.02
#: Weight of the newest answer in the moving average of the time at a
#: target.
_WORK_TIME_WEIGHT = 0.05


class TargetWaiters:
    """The requests of this node that wait for a target.

    Each has a place in the fair queue and an outstanding request for a permit.
    A permit goes to the request that the queue serves next, which may not be
    the one that it was granted for; the two then swap tickets. A request that
    has left the queue, but could not use its permit, waits for another one.

    Args:
        parts: The coordination parts.
        work_times: How long the requests of each route take.
        clock: Returns the time of the node's clock, in seconds.
        send: Sends messages to other nodes.
        connect: Starts the attempt of a request with its permit.
    """

    def __init__(
        self,
        parts: CoordinationParts,
        work_times: "WorkTimes",
        clock: Callable[[], float],
        send: Callable[[list[Outbound]], None],
        connect: Callable[[Exchange, Permit], None],
    ) -> None:
        self._parts = parts
        self._work_times = work_times
        self._clock = clock
        self._send = send
        self._connect = connect
        self._tickets = itertools.count(1)
        self._awaiting_permit: dict[TicketId, Exchange] = {}
        self._queued: dict[TicketId, Exchange] = {}
        #: Tickets whose permits were declined, and when to request others.
        self._declined_until_s: dict[TicketId, float] = {}
        self._is_polling_permits = False
        self._poll_permits_again = False

    @property
    def awaits_permit(self) -> bool:
        """Whether a request waits for a permit."""
        return bool(self._awaiting_permit)

    def on_tick(self, now_s: float) -> None:
        """Removes expired requests; requests permits again after declines."""
        self._parts.queue.expire(now_s)
        self._refuse_evicted()
        self._request_declined_again(now_s)

    def enqueue(self, exchange: Exchange, now_s: float) -> None:
        """Queues a request, or refuses it if the queue does."""
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

    def request_another(self, exchange: Exchange, now_s: float) -> None:
        """Requests a permit for a request that could not use its last one."""
        self._new_ticket(exchange)
        self._ask_permit(exchange, now_s)

    def poll(self, now_s: float) -> None:
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

    def cancel(self, exchange: Exchange, now_s: float) -> None:
        """Removes a request, which then waits for no target any more."""
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
                self.cancel(exchange, self._clock())
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
        self.poll(now_s)

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
        self._connect(exchange, assignment.permit)

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

    def _new_ticket(self, exchange: Exchange) -> TicketId:
        ticket = TicketId(next(self._tickets))
        exchange.ticket = ticket
        self._awaiting_permit[ticket] = exchange
        return ticket


class WorkTimes:
    """Moving averages of the time at a target, by route.

    The slowdown that was expected when a request was sent is divided out, so
    that the average does not grow while targets are slow or have queues.

    Example:
        >>> work = WorkTimes()
        >>> work.expected_s("status") is None
        True
        >>> work.on_answer("status", 0.5, 2.0)
        >>> work.expected_s("status")
        0.25
    """

    def __init__(self) -> None:
        self._mean_s: dict[RouteId, float] = {}

    def on_answer(
        self, route: RouteId, latency_s: float, slowdown: float
    ) -> None:
        """Records a complete answer.

        Args:
            route: Route of the request.
            latency_s: Time from sending the request to the end of the answer.
            slowdown: Slowdown that was expected of the target.
        """
        sample_s = latency_s / max(1.0, slowdown)
        mean_s = self._mean_s.get(route, sample_s)
        self._mean_s[route] = mean_s + _WORK_TIME_WEIGHT * (sample_s - mean_s)

    def expected_s(self, route: RouteId) -> float | None:
        """Returns the usual time, or None before the first answer."""
        return self._mean_s.get(route)

    def retain(self, routes: Set[RouteId]) -> None:
        """Keeps only the averages of ``routes``."""
        for route in self._mean_s.keys() - routes:
            del self._mean_s[route]
