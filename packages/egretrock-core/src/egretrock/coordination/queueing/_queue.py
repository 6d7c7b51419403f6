"""Deficit round robin over organisations, charged by slot time.

Source of the order: Shreedhar and Varghese, "Efficient fair queuing using
deficit round robin", SIGCOMM 1995. Here the cost of a request is the slot
time it takes, which is known only at its end. So an estimate is charged
when the request is taken, and the difference when it has ended.
"""

import collections
import math
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from egretrock.coordination.base import Counters, NullCounters
from egretrock.state.ids import OrganisationId, ServiceId, TicketId
from egretrock.state.outcome import Refusal, RefusalCode, RunState

#: Slot time that an organisation of mean rate gains in one round. It is
#: below one request, so that a round moves on after a request or two.
QUANTUM_S = 0.01
#: Estimate before any request of a service has ended.
DEFAULT_SLOT_TIME_S = 0.02
#: Weight of one request in the estimate.
ESTIMATE_WEIGHT = 0.1
#: An organisation without requests keeps its debt for this time. Otherwise
#: one that sends slow requests one by one would never pay.
DEBT_S = 10.0
#: Largest debt, in slot seconds; it bounds the wait after one odd request.
MAX_DEBT_S = 5.0
#: Requests of one organisation in flight whose estimates are remembered.
MAX_CHARGED = 10_000
RETRY_AFTER_MS = 100


class QueuedRequest(msgspec.Struct, frozen=True):
    """One waiting request.

    Attributes:
        ticket: Number of the request, unique within the process.
        service: Service that shall run it.
        organisation: Organisation it belongs to.
        deadline_s: Time from which it must not be sent any more.
    """

    ticket: TicketId
    service: ServiceId
    organisation: OrganisationId
    deadline_s: float


class _Waiting(msgspec.Struct):
    item: QueuedRequest
    estimate_s: float


class _Flow:
    """Requests of one organisation for one service."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.backlog_s = 0.0
        self.deficit_s = 0.0
        self.charged: collections.deque[float] = collections.deque(
            maxlen=MAX_CHARGED
        )
        self.estimate_s: float | None = None
        self.idle_since_s = 0.0

    def pop(self, newest: bool = False) -> _Waiting:
        waiting = self.waiting.pop() if newest else self.waiting.popleft()
        # The sum must not drift from zero by rounding.
        left_s = self.backlog_s - waiting.estimate_s
        self.backlog_s = left_s if self.waiting else 0.0
        return waiting


class _ServiceQueue:
    def __init__(self) -> None:
        self.flows: dict[OrganisationId, _Flow] = {}
        self.round: collections.deque[OrganisationId] = collections.deque()
        self.size = 0
        self.estimate_s = DEFAULT_SLOT_TIME_S


class FairQueue:
    """Waiting requests of one node, in a fair order per service.

    Args:
        rate_of: Rate per second of an organisation; it is the weight of the
            organisation in the order and on overflow.
        bound_of: Most waiting requests of a service.
        counters: Counters.
    """

    def __init__(
        self,
        rate_of: Callable[[OrganisationId], float],
        bound_of: Callable[[ServiceId], int],
        counters: Counters | None = None,
    ) -> None:
        self._rate_of = rate_of
        self._bound_of = bound_of
        self._counters = counters or NullCounters()
        self._services: dict[ServiceId, _ServiceQueue] = {}
        self._evicted: list[QueuedRequest] = []
        self._expired: list[QueuedRequest] = []

    def size(self, service: ServiceId) -> int:
        """Returns how many requests wait for a service."""
        queue = self._services.get(service)
        return queue.size if queue else 0

    def offer(self, item: QueuedRequest, now_s: float) -> Result[None, Refusal]:
        """Puts a request into the queue.

        On overflow the organisation with the largest backlog relative to
        its rate loses its newest request. If that is another one than
        ``item``, ``evicted`` returns it.

        Returns:
            Ok, or a ``queue_full`` refusal.
        """
        if now_s >= item.deadline_s:
            return Error(
                Refusal(
                    RefusalCode.DEADLINE_EXCEEDED,
                    RunState.NOT_RUN,
                    "the deadline passed before the request was queued",
                )
            )
        queue = self._services.setdefault(item.service, _ServiceQueue())
        flow = self._flow(queue, item.organisation)
        estimate_s = flow.estimate_s or queue.estimate_s
        if not flow.waiting:
            queue.round.append(item.organisation)
        flow.waiting.append(_Waiting(item, estimate_s))
        flow.backlog_s += estimate_s
        queue.size += 1
        bound = self._bound_of(item.service)
        if queue.size <= bound:
            return Ok(None)
        lost = self._evict(queue)
        self._counters.increment("queue.evicted")
        if lost is not item:
            self._evicted.append(lost)
            return Ok(None)
        return Error(self.full_refusal(item))

    def evicted(self) -> list[QueuedRequest]:
        """Returns the requests that lost their place since the last call.

        The caller answers each with ``full_refusal``.
        """
        evicted, self._evicted = self._evicted, []
        return evicted

    def full_refusal(self, item: QueuedRequest) -> Refusal:
        """Returns the refusal of a request that the queue has no room for."""
        bound = self._bound_of(item.service)
        return Refusal(
            RefusalCode.QUEUE_FULL,
            RunState.NOT_RUN,
            f"the queue of {item.service!r} holds its {bound} requests and "
            f"{item.organisation!r} has the largest share of them",
            RETRY_AFTER_MS,
        )

    def take(self, service: ServiceId, now_s: float) -> QueuedRequest | None:
        """Returns the request whose turn it is, or None.

        Its deadline has not passed. Each request taken must be settled.
        """
        queue = self._services.get(service)
        if queue is None:
            return None
        for organisation in list(queue.round):
            self._drop_expired(queue, organisation, now_s)
        if not queue.round:
            return None
        organisation = self._next(queue)
        flow = queue.flows[organisation]
        waiting = flow.pop()
        queue.size -= 1
        flow.deficit_s -= waiting.estimate_s
        flow.charged.append(waiting.estimate_s)
        if not flow.waiting:
            self._leave_round(queue, organisation)
        return waiting.item

    def settle(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        slot_time_s: float,
    ) -> None:
        """Charges the slot time that a taken request used.

        Args:
            organisation: Organisation of the request.
            service: Service.
            slot_time_s: Time it occupied a slot; 0 if it was not sent.
        """
        queue = self._services.get(service)
        flow = queue.flows.get(organisation) if queue else None
        if queue is None or flow is None or not flow.charged:
            return
        # Estimates come back in the order of taking, which may differ from
        # the order of ending. Only their sum matters.
        flow.deficit_s += flow.charged.popleft() - slot_time_s
        flow.deficit_s = max(flow.deficit_s, -MAX_DEBT_S)
        if slot_time_s > 0:
            flow.estimate_s = _average(
                flow.estimate_s or slot_time_s, slot_time_s
            )
            queue.estimate_s = _average(queue.estimate_s, slot_time_s)

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Removes the requests whose deadline has passed and returns them."""
        for service, queue in list(self._services.items()):
            for organisation in list(queue.round):
                self._drop_expired(queue, organisation, now_s)
            for organisation, flow in list(queue.flows.items()):
                if flow.waiting or flow.charged:
                    flow.idle_since_s = now_s
                elif now_s - flow.idle_since_s > DEBT_S:
                    del queue.flows[organisation]
            if not queue.flows:
                del self._services[service]
        expired, self._expired = self._expired, []
        self._counters.increment("queue.expired", len(expired))
        return expired

    def _flow(
        self, queue: _ServiceQueue, organisation: OrganisationId
    ) -> _Flow:
        weight = max(self._rate_of(organisation), 1e-9)
        flow = queue.flows.get(organisation)
        if flow is None:
            flow = queue.flows[organisation] = _Flow(weight)
        flow.weight = weight
        return flow

    def _next(self, queue: _ServiceQueue) -> OrganisationId:
        """Returns the organisation whose turn it is.

        One step gives every waiting organisation as many quanta as the
        first of them needs, instead of going round and round.
        """
        flows = [queue.flows[organisation] for organisation in queue.round]
        mean = sum(flow.weight for flow in flows) / len(flows)
        rounds = math.inf
        for flow in flows:
            quantum_s = QUANTUM_S * flow.weight / mean
            rounds = min(
                rounds, math.ceil(max(0.0, -flow.deficit_s) / quantum_s)
            )
        if all(flow.deficit_s <= 0 for flow in flows):
            rounds += 1
            for flow in flows:
                flow.deficit_s += rounds * QUANTUM_S * flow.weight / mean
        while True:
            organisation = queue.round[0]
            queue.round.rotate(-1)
            if queue.flows[organisation].deficit_s > 0:
                # It keeps its turn while it has credit.
                queue.round.rotate(1)
                return organisation

    def _evict(self, queue: _ServiceQueue) -> QueuedRequest:
        organisation = max(
            queue.round,
            key=lambda o: queue.flows[o].backlog_s / queue.flows[o].weight,
        )
        waiting = queue.flows[organisation].pop(newest=True)
        queue.size -= 1
        if not queue.flows[organisation].waiting:
            self._leave_round(queue, organisation)
        return waiting.item

    def _drop_expired(
        self, queue: _ServiceQueue, organisation: OrganisationId, now_s: float
    ) -> None:
        """Drops expired requests from the front, where the oldest are."""
        flow = queue.flows[organisation]
        while flow.waiting and flow.waiting[0].item.deadline_s <= now_s:
            self._expired.append(flow.pop().item)
            queue.size -= 1
        if not flow.waiting:
            self._leave_round(queue, organisation)

    def _leave_round(
        self, queue: _ServiceQueue, organisation: OrganisationId
    ) -> None:
        queue.round.remove(organisation)
        # Credit is not saved up while there is nothing to send.
        flow = queue.flows[organisation]
        flow.deficit_s = min(flow.deficit_s, 0.0)


def _average(old: float, new: float) -> float:
    return old + ESTIMATE_WEIGHT * (new - old)
