"""Deficit round robin over organisations, charged by slot time.

The slot time of a request is the time for which it occupies a slot of a
target.

Source of the algorithm: Shreedhar and Varghese, "Efficient fair queuing using
deficit round robin", SIGCOMM 1995. Here the cost of a request is its slot
time, which is known only when it ends. An estimate is charged when the
request is taken from the queue, and the difference when it ends.
"""

import collections
import math
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from egretrock.coordination.base import Counters, NullCounters
from egretrock.state.ids import OrganisationId, ServiceId, TicketId
from egretrock.state.outcome import Refusal, RefusalCode, RunState

#: Slot time that an organisation of mean rate is credited in one round. It
#: is below that of one request, so that the turn passes to the next
#: organisation after one or two requests.
QUANTUM_S = 0.01
#: Estimated slot time until the first request of a service has ended.
DEFAULT_SLOT_TIME_S = 0.02
#: Weight of one request in the moving average of slot times.
ESTIMATE_WEIGHT = 0.1
#: Time for which an organisation without requests keeps its debt. Otherwise
#: one that sends slow requests one at a time would never be charged for them.
DEBT_RETENTION_S = 10.0
#: Largest debt, in seconds of slot time; it bounds the wait after one
#: unusually slow request.
MAX_DEBT_S = 5.0
#: Maximum number of requests in flight of one organisation whose estimates are
#: kept.
MAX_CHARGED = 10_000
#: Delay after which the caller of a refused request is told to retry.
RETRY_AFTER_MS = 100


class QueuedRequest(msgspec.Struct, frozen=True):
    """One waiting request.

    Attributes:
        ticket: Number of the request, unique within the process.
        service: Service that serves it.
        organisation: Organisation it belongs to.
        deadline_s: Time from which it must not be sent to a target.
    """

    ticket: TicketId
    service: ServiceId
    organisation: OrganisationId
    deadline_s: float


class _QueueEntry(msgspec.Struct):
    item: QueuedRequest
    estimate_s: float


class _Flow:
    """Requests of one organisation for one service.

    A positive deficit is slot time to spend, a negative one is debt.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.backlog: collections.deque[_QueueEntry] = collections.deque()
        self.backlog_s = 0.0
        self.deficit_s = 0.0
        self.charged_estimates_s: collections.deque[float] = collections.deque(
            maxlen=MAX_CHARGED
        )
        self.estimate_s: float | None = None
        self.idle_since_s = 0.0

    def pop(self, newest: bool = False) -> _QueueEntry:
        entry = self.backlog.pop() if newest else self.backlog.popleft()
        # An empty backlog is exactly 0, without accumulated rounding errors.
        remaining_s = self.backlog_s - entry.estimate_s
        self.backlog_s = remaining_s if self.backlog else 0.0
        return entry


class _ServiceQueue:
    def __init__(self) -> None:
        self.flows: dict[OrganisationId, _Flow] = {}
        self.active_organisations: collections.deque[OrganisationId] = (
            collections.deque()
        )
        self.size = 0
        self.estimate_s = DEFAULT_SLOT_TIME_S


class FairQueue:
    """Waiting requests of one node, ordered fairly for each service.

    Args:
        rate_of: Returns the rate per second of an organisation, its weight
            in the order of requests and on overflow.
        max_waiting_of: Returns the largest number of waiting requests of a
            service.
        counters: Counters.
    """

    def __init__(
        self,
        rate_of: Callable[[OrganisationId], float],
        max_waiting_of: Callable[[ServiceId], int],
        counters: Counters | None = None,
    ) -> None:
        self._rate_of = rate_of
        self._max_waiting_of = max_waiting_of
        self._counters = counters or NullCounters()
        self._services: dict[ServiceId, _ServiceQueue] = {}
        self._evicted: list[QueuedRequest] = []
        self._expired: list[QueuedRequest] = []

    def size(self, service: ServiceId) -> int:
        """Returns the number of requests that wait for a service."""
        queue = self._services.get(service)
        return queue.size if queue else 0

    def offer(self, item: QueuedRequest, now_s: float) -> Result[None, Refusal]:
        """Puts a request into the queue.

        On overflow the newest request of the organisation with the largest
        backlog relative to its rate is evicted. If that is not ``item``,
        ``take_evicted`` returns it.

        Returns:
            Ok, or a ``queue_full`` or ``deadline_exceeded`` refusal.
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
        if not flow.backlog:
            queue.active_organisations.append(item.organisation)
        flow.backlog.append(_QueueEntry(item, estimate_s))
        flow.backlog_s += estimate_s
        queue.size += 1
        limit = self._max_waiting_of(item.service)
        if queue.size <= limit:
            return Ok(None)
        evicted_item = self._evict(queue)
        self._counters.increment("queue.evicted")
        if evicted_item is not item:
            self._evicted.append(evicted_item)
            return Ok(None)
        return Error(self.full_refusal(item))

    def take_evicted(self) -> list[QueuedRequest]:
        """Returns the requests that were evicted since the last call.

        The caller answers each with ``full_refusal``.
        """
        evicted, self._evicted = self._evicted, []
        return evicted

    def full_refusal(self, item: QueuedRequest) -> Refusal:
        """Returns the refusal of a request that does not fit the queue."""
        limit = self._max_waiting_of(item.service)
        return Refusal(
            RefusalCode.QUEUE_FULL,
            RunState.NOT_RUN,
            f"the queue of {item.service!r} holds its {limit} requests and "
            f"{item.organisation!r} has the largest share of them",
            RETRY_AFTER_MS,
        )

    def take(self, service: ServiceId, now_s: float) -> QueuedRequest | None:
        """Removes and returns the next request, or None if none waits.

        Its deadline has not passed. The caller must ``report_slot_time`` each
        request.
        """
        queue = self._services.get(service)
        if queue is None:
            return None
        for organisation in list(queue.active_organisations):
            self._drop_expired(queue, organisation, now_s)
        if not queue.active_organisations:
            return None
        organisation = self._next_organisation(queue)
        flow = queue.flows[organisation]
        entry = flow.pop()
        queue.size -= 1
        flow.deficit_s -= entry.estimate_s
        flow.charged_estimates_s.append(entry.estimate_s)
        if not flow.backlog:
            self._deactivate(queue, organisation)
        return entry.item

    def report_slot_time(
        self,
        organisation: OrganisationId,
        service: ServiceId,
        slot_time_s: float,
    ) -> None:
        """Charges the slot time that a request used.

        Args:
            organisation: Organisation of the request.
            service: Service of the request.
            slot_time_s: Time for which it occupied a slot; 0 if it was not
                sent.
        """
        queue = self._services.get(service)
        flow = queue.flows.get(organisation) if queue else None
        if queue is None or flow is None or not flow.charged_estimates_s:
            return
        # Estimates are returned in the order in which requests were taken,
        # which may differ from the order in which they end. Only the sum of
        # the estimates matters.
        flow.deficit_s += flow.charged_estimates_s.popleft() - slot_time_s
        flow.deficit_s = max(flow.deficit_s, -MAX_DEBT_S)
        if slot_time_s > 0:
            flow.estimate_s = _moving_average(
                flow.estimate_s or slot_time_s, slot_time_s
            )
            queue.estimate_s = _moving_average(queue.estimate_s, slot_time_s)

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Removes the requests whose deadline has passed and returns them."""
        for service, queue in list(self._services.items()):
            for organisation in list(queue.active_organisations):
                self._drop_expired(queue, organisation, now_s)
            for organisation, flow in list(queue.flows.items()):
                if flow.backlog or flow.charged_estimates_s:
                    flow.idle_since_s = now_s
                elif now_s - flow.idle_since_s > DEBT_RETENTION_S:
                    del queue.flows[organisation]
            if not queue.flows:
                del self._services[service]
        expired, self._expired = self._expired, []
        self._counters.increment("queue.expired", len(expired))
        return expired

    def _flow(
        self, queue: _ServiceQueue, organisation: OrganisationId
    ) -> _Flow:
        # Above 0, because backlogs are divided by weights.
        weight = max(self._rate_of(organisation), 1e-9)
        flow = queue.flows.get(organisation)
        if flow is None:
            flow = queue.flows[organisation] = _Flow(weight)
        flow.weight = weight
        return flow

    def _next_organisation(self, queue: _ServiceQueue) -> OrganisationId:
        """Returns the organisation whose turn it is.

        Where no organisation has credit, all are credited at once for as
        many rounds as the first of them needs, instead of round by round.
        """
        flows = [
            queue.flows[organisation]
            for organisation in queue.active_organisations
        ]
        mean_weight = sum(flow.weight for flow in flows) / len(flows)
        rounds = math.inf
        for flow in flows:
            quantum_s = QUANTUM_S * flow.weight / mean_weight
            rounds = min(
                rounds, math.ceil(max(0.0, -flow.deficit_s) / quantum_s)
            )
        if all(flow.deficit_s <= 0 for flow in flows):
            rounds += 1
            for flow in flows:
                flow.deficit_s += rounds * QUANTUM_S * flow.weight / mean_weight
        while True:
            organisation = queue.active_organisations[0]
            queue.active_organisations.rotate(-1)
            if queue.flows[organisation].deficit_s > 0:
                # An organisation keeps its turn while it has credit.
                queue.active_organisations.rotate(1)
                return organisation

    def _evict(self, queue: _ServiceQueue) -> QueuedRequest:
        organisation = max(
            queue.active_organisations,
            key=lambda o: queue.flows[o].backlog_s / queue.flows[o].weight,
        )
        evicted = queue.flows[organisation].pop(newest=True)
        queue.size -= 1
        if not queue.flows[organisation].backlog:
            self._deactivate(queue, organisation)
        return evicted.item

    def _drop_expired(
        self, queue: _ServiceQueue, organisation: OrganisationId, now_s: float
    ) -> None:
        """Drops expired requests from the front of the backlog."""
        flow = queue.flows[organisation]
        while flow.backlog and flow.backlog[0].item.deadline_s <= now_s:
            self._expired.append(flow.pop().item)
            queue.size -= 1
        if not flow.backlog:
            self._deactivate(queue, organisation)

    def _deactivate(
        self, queue: _ServiceQueue, organisation: OrganisationId
    ) -> None:
        queue.active_organisations.remove(organisation)
        # An organisation without waiting requests keeps no credit.
        flow = queue.flows[organisation]
        flow.deficit_s = min(flow.deficit_s, 0.0)


def _moving_average(average: float, sample: float) -> float:
    return average + ESTIMATE_WEIGHT * (sample - average)
