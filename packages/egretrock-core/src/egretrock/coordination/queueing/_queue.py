"""Deficit round robin over organisations, charged by slot time.

A request that cannot begin in time is refused as soon as that is known: the
pace at which the service takes requests, and the requests before it, tell when
it would begin. Of the requests of one organisation, those that can still be
answered within their target latency go before those that cannot.

The slot time of a request is the time for which it occupies a slot of a
target.

Source of the algorithm: Shreedhar and Varghese, "Efficient fair queuing using
deficit round robin", SIGCOMM 1995. Here the cost of a request is its slot
time, which is known only when it ends. An estimate is charged when the
request is taken from the queue, and the difference when it ends.
"""

import collections
import math
from collections.abc import Callable, Collection

import msgspec
from expression import Error, Ok, Result

from egretrock.coordination.base import Counters, NullCounters
from egretrock.coordination.queueing._forecast import ReturnTimes, ServicePace
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
#: Delay after which the caller of a refused request is told to retry while
#: the pace of the service is not known.
RETRY_AFTER_MS = 100
#: Share of the forecast wait that is trusted: a request is refused only if it
#: would be late even if the service became this much faster.
FORECAST_SHARE = 0.9
#: Share of the mean slot time that even a short request needs.
MIN_SLOT_SHARE = 0.5
#: Period at which waiting requests are checked against the forecast.
FORECAST_PERIOD_S = 0.05


class QueuedRequest(msgspec.Struct, frozen=True):
    """One waiting request.

    Attributes:
        ticket: Number of the request, unique within the process.
        service: Service that serves it.
        organisation: Organisation it belongs to.
        deadline_s: Time from which it must not be sent to a target.
        objective_s: Time until which its answer has its full value.
    """

    ticket: TicketId
    service: ServiceId
    organisation: OrganisationId
    deadline_s: float
    objective_s: float = math.inf


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
        return self._removed(entry)

    def feasible_index(self, now_s: float) -> int | None:
        """Returns the index of the oldest request that can be in time."""
        for index, entry in enumerate(self.backlog):
            objective_s = min(entry.item.objective_s, entry.item.deadline_s)
            if now_s + entry.estimate_s <= objective_s:
                return index
        return None

    def pop_at(self, index: int) -> _QueueEntry:
        entry = self.backlog[index]
        del self.backlog[index]
        return self._removed(entry)

    def _removed(self, entry: _QueueEntry) -> _QueueEntry:
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
        self.pace = ServicePace()
        self.returns = ReturnTimes()
        self.next_forecast_s = 0.0


class _QueueView(msgspec.Struct):
    """What waits for a service at one moment.

    Attributes:
        feasible: For each organisation, its weight and its requests that can
            meet their objective.
        feasible_count: Sum of those requests.
        late_deadlines_s: Deadlines of the other requests.
    """

    feasible: dict[OrganisationId, tuple[_Flow, int]]
    feasible_count: int
    late_deadlines_s: list[float]

    def count_ahead(self, flow: _Flow, position: int) -> int:
        """Returns how many feasible requests are served before one.

        Args:
            flow: Requests of its organisation.
            position: Requests of the organisation before it.
        """
        rounds = (position + 1) / flow.weight
        ahead_count = 0
        for other, count in self.feasible.values():
            if other is flow:
                ahead_count += min(position, count)
            else:
                ahead_count += min(count, math.ceil(rounds * other.weight))
        return ahead_count


def _view(queue: _ServiceQueue, now_s: float) -> _QueueView:
    view = _QueueView({}, 0, [])
    for organisation in queue.active_organisations:
        flow = queue.flows[organisation]
        count = 0
        for entry in flow.backlog:
            item = entry.item
            objective_s = min(item.objective_s, item.deadline_s)
            if now_s + entry.estimate_s <= objective_s:
                count += 1
            else:
                view.late_deadlines_s.append(item.deadline_s)
        view.feasible[organisation] = (flow, count)
        view.feasible_count += count
    return view


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
        self._forecast_refusals: dict[TicketId, Refusal] = {}
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
        queue.pace.on_offer(now_s)
        refusal = None
        # With an empty queue one request waits, to show when the service takes
        # requests again.
        if queue.size and queue.pace.per_s(now_s) is not None:
            entry, position = _QueueEntry(item, estimate_s), len(flow.backlog)
            refusal = self._forecast_refusal(
                queue, flow, _view(queue, now_s), entry, position, now_s
            )
        if refusal is not None:
            return Error(refusal)
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
        return Error(self._full_refusal(item))

    def take_evicted(self) -> list[QueuedRequest]:
        """Returns the requests that were evicted since the last call.

        The caller answers each with ``refusal_of``.
        """
        evicted, self._evicted = self._evicted, []
        return evicted

    def refusal_of(self, item: QueuedRequest) -> Refusal:
        """Returns the refusal of an evicted request; call it once for each."""
        refusal = self._forecast_refusals.pop(item.ticket, None)
        return refusal if refusal is not None else self._full_refusal(item)

    def _full_refusal(self, item: QueuedRequest) -> Refusal:
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
        feasible = {
            organisation: index
            for organisation in queue.active_organisations
            if (index := queue.flows[organisation].feasible_index(now_s))
            is not None
        }
        organisation = self._next_organisation(
            queue, feasible or queue.active_organisations
        )
        flow = queue.flows[organisation]
        entry = flow.pop_at(feasible.get(organisation, 0))
        queue.size -= 1
        queue.pace.on_take(now_s)
        if not queue.size:
            queue.pace.on_empty()
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
        """Removes the requests whose deadline has passed and returns them.

        Those that the forecast shows to be late are evicted.
        """
        for service, queue in list(self._services.items()):
            for organisation in list(queue.active_organisations):
                self._drop_expired(queue, organisation, now_s)
            if now_s >= queue.next_forecast_s:
                queue.next_forecast_s = now_s + FORECAST_PERIOD_S
                self._evict_late(queue, now_s)
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

    def _evict_late(self, queue: _ServiceQueue, now_s: float) -> None:
        """Evicts the requests that will not be served in time."""
        if queue.pace.per_s(now_s) is None:
            return
        view = _view(queue, now_s)
        for organisation in list(queue.active_organisations):
            flow = queue.flows[organisation]
            for index in reversed(range(len(flow.backlog))):
                entry = flow.backlog[index]
                refusal = self._forecast_refusal(
                    queue, flow, view, entry, index, now_s
                )
                if refusal is None:
                    continue
                flow.pop_at(index)
                queue.size -= 1
                self._evicted.append(entry.item)
                self._forecast_refusals[entry.item.ticket] = refusal
            if not flow.backlog:
                self._deactivate(queue, organisation)

    def _forecast_refusal(
        self,
        queue: _ServiceQueue,
        flow: _Flow,
        view: _QueueView,
        entry: _QueueEntry,
        position: int,
        now_s: float,
    ) -> Refusal | None:
        """Returns the refusal of a request that will not be served in time.

        Args:
            queue: Queue of its service.
            flow: Requests of its organisation.
            view: What waits for the service.
            entry: The request.
            position: Requests of the organisation before it.
            now_s: Time.
        """
        pace_per_s = queue.pace.per_s(now_s)
        if pace_per_s is None:
            return None
        item = entry.item
        ahead_count = view.count_ahead(flow, position)
        wait_s = (ahead_count + 1) / pace_per_s
        trusted_s = FORECAST_SHARE * wait_s
        objective_s = min(item.objective_s, item.deadline_s)
        if now_s + trusted_s + entry.estimate_s <= objective_s:
            return None
        # It gives way to all requests that can meet their objective, also to
        # those that will arrive.
        late_count = view.feasible_count + sum(
            at_s < item.deadline_s for at_s in view.late_deadlines_s
        )
        surplus_per_s = queue.pace.surplus_per_s(now_s)
        wait_s = max(wait_s, (late_count + 1) / surplus_per_s)
        left_s = item.deadline_s - now_s
        needed_s = FORECAST_SHARE * wait_s + MIN_SLOT_SHARE * entry.estimate_s
        if needed_s <= left_s:
            return None
        self._counters.increment("queue.refused_early")
        return Refusal(
            RefusalCode.QUEUE_FULL,
            RunState.NOT_RUN,
            f"{ahead_count} requests of {item.service!r} are served before it,"
            f" {pace_per_s:.1f} a second; it would begin in {wait_s:.2f} s and"
            f" has {left_s:.2f} s",
            round(
                1000 * queue.returns.retry_after_s(left_s, pace_per_s, now_s)
            ),
        )

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

    def _next_organisation(
        self, queue: _ServiceQueue, eligible: Collection[OrganisationId]
    ) -> OrganisationId:
        """Returns the eligible organisation whose turn it is.

        Where no organisation has credit, all are credited at once for as
        many rounds as the first of them needs, instead of round by round.
        """
        flows = [queue.flows[organisation] for organisation in eligible]
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
            if (
                organisation in eligible
                and queue.flows[organisation].deficit_s > 0
            ):
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
