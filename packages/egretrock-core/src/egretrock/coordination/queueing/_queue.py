"""Deficit round robin over organisations, charged by slot time.

A request that cannot begin in time is refused as soon as that is known: the
pace at which the service takes requests, and the requests before it, tell when
it would begin. Requests that can still be answered within their target latency
go before those that cannot, and among them higher priorities before lower ones.
Organisations take turns within a priority. A priority that is served much more
rarely than the others goes first until it has caught up.

The slot time of a request is the time for which it occupies a slot of a
target.

Source of the algorithm: Shreedhar and Varghese, "Efficient fair queuing using
deficit round robin", SIGCOMM 1995. Here the cost of a request is its slot
time, which is known only when it ends. An estimate is charged when the
request is taken from the queue, and the difference when it ends.
"""

import math
from collections.abc import Callable, Collection

from expression import Error, Ok, Result

from egretrock.coordination.base import Counters, NullCounters
from egretrock.coordination.queueing._flow import (
    Flow,
    QueueView,
    ServiceQueue,
    view_queue,
)
from egretrock.coordination.queueing._order import (
    eviction_costs,
    slot_choices,
)
from egretrock.coordination.queueing._ranks import MIN_SERVED_SHARE
from egretrock.coordination.queueing._requests import (
    Prospect,
    QueuedRequest,
    QueueEntry,
)
from egretrock.coordination.queueing._room import ServiceRoom, rank_of
from egretrock.coordination.queueing._work import WorkEstimate, WorkEstimates
from egretrock.state.ids import (
    OrganisationId,
    RouteId,
    ServiceId,
    TargetId,
    TicketId,
)
from egretrock.state.outcome import Refusal, RefusalCode, RunState

#: Slot time that an organisation of mean rate is credited in one round. It
#: is below that of one request, so that the turn passes to the next
#: organisation after one or two requests.
QUANTUM_S = 0.01
#: Weight of one request in the moving average of slot times.
ESTIMATE_WEIGHT = 0.1
#: Time for which an organisation without requests keeps its debt. Otherwise
#: one that sends slow requests one at a time would never be charged for them.
DEBT_RETENTION_S = 10.0
#: Largest debt, in seconds of slot time; it bounds the wait after one
#: unusually slow request.
MAX_DEBT_S = 5.0
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
#: Time for which all slots are declined for their slowdown. The next one is
#: used in any case, as the expected slowdown may be wrong.
MAX_DECLINED_S = 0.25

#: Returns the room of a service over all nodes, or None if it is not known.
FleetRoom = Callable[[ServiceId, float], ServiceRoom | None]


class FairQueue:
    """Waiting requests of one node, ordered fairly for each service.

    Args:
        rate_of: Returns the rate per second of an organisation, its weight
            in the order of requests and on overflow.
        max_waiting_of: Returns the largest number of waiting requests of a
            service.
        counters: Counters.
        fleet_room: Returns the room of a service over all nodes.
    """

    def __init__(
        self,
        rate_of: Callable[[OrganisationId], float],
        max_waiting_of: Callable[[ServiceId], int],
        counters: Counters | None = None,
        fleet_room: FleetRoom = lambda _, now_s: None,
    ) -> None:
        self._rate_of = rate_of
        self._max_waiting_of = max_waiting_of
        self._counters = counters or NullCounters()
        self._fleet_room = fleet_room
        self._services: dict[ServiceId, ServiceQueue] = {}
        self._work = WorkEstimates()
        self._evicted: list[QueuedRequest] = []
        self._refusals: dict[TicketId, Refusal] = {}
        self._expired: list[QueuedRequest] = []

    def size(self, service: ServiceId) -> int:
        """Returns the number of requests that wait for a service."""
        queue = self._services.get(service)
        return queue.size if queue else 0

    def room(self, service: ServiceId, now_s: float) -> ServiceRoom:
        """Returns the demand of this node for a service and what it takes."""
        queue = self._services.get(service)
        if queue is None:
            return ServiceRoom(0.0, 0.0, ())
        waiting: list[int] = []
        for priority, count in queue.waiting_by_priority.items():
            rank = rank_of(priority)
            waiting += [0] * (rank + 1 - len(waiting))
            waiting[rank] += count
        return ServiceRoom(
            queue.rates.offered_per_s(now_s),
            queue.rates.taken_per_s(now_s),
            tuple(waiting),
        )

    def active_services(self) -> list[ServiceId]:
        """Returns the services that had requests a short time ago."""
        return list(self._services)

    def offer(self, item: QueuedRequest, now_s: float) -> Result[None, Refusal]:
        """Puts a request into the queue.

        On overflow one request is evicted. Where all waiting requests have
        one priority, it is the newest of the organisation with the largest
        backlog relative to its rate; otherwise the one that costs its caller
        least. If that is not ``item``, ``take_evicted`` returns it.

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
        queue = self._services.setdefault(item.service, ServiceQueue())
        flow = self._flow(queue, item.organisation)
        entry = self._entry(queue, flow, item, now_s)
        queue.pace.on_offer(now_s)
        queue.rates.on_offer(item.priority, now_s)
        refusal = None
        # With an empty queue one request waits, to show when the service takes
        # requests again.
        if queue.size:
            refusal = self._forecast_refusal(
                queue,
                flow,
                view_queue(queue, now_s),
                entry,
                flow.count_of(item.priority),
                now_s,
            )
        if refusal is not None:
            return Error(refusal)
        queue.add(flow, entry)
        if queue.size <= self._max_waiting_of(item.service):
            return Ok(None)
        evicted_item = self._evict(queue, now_s)
        self._counters.increment("queue.evicted")
        refusal = self._full_refusal(queue, evicted_item, now_s)
        if evicted_item is item:
            return Error(refusal)
        self._refuse_later(evicted_item, refusal)
        return Ok(None)

    def _entry(
        self,
        queue: ServiceQueue,
        flow: Flow,
        item: QueuedRequest,
        now_s: float,
    ) -> QueueEntry:
        estimate_s = flow.estimate_s or queue.estimate_s
        work = self._work.estimate(item.service, item.route, now_s)
        # Without answers of its route, nothing is known of the shortest work.
        work = work or WorkEstimate(estimate_s, 0.0)
        return QueueEntry(item, estimate_s, work)

    def _refuse_later(self, item: QueuedRequest, refusal: Refusal) -> None:
        self._evicted.append(item)
        self._refusals[item.ticket] = refusal

    def take_evicted(self) -> list[QueuedRequest]:
        """Returns the requests that were evicted since the last call.

        The caller answers each with ``refusal_of``.
        """
        evicted, self._evicted = self._evicted, []
        return evicted

    def refusal_of(self, item: QueuedRequest) -> Refusal:
        """Returns the refusal of an evicted request; call it once for each."""
        return self._refusals.pop(item.ticket)

    def _full_refusal(
        self, queue: ServiceQueue, item: QueuedRequest, now_s: float
    ) -> Refusal:
        limit = self._max_waiting_of(item.service)
        retry_after_ms = RETRY_AFTER_MS
        pace_per_s = queue.pace.per_s(now_s)
        if pace_per_s is not None:
            left_s = min(item.deadline_s - now_s, queue.size / pace_per_s)
            retry_after_ms = _retry_after_ms(
                queue, item, left_s, pace_per_s, now_s
            )
        return Refusal(
            RefusalCode.QUEUE_FULL,
            RunState.NOT_RUN,
            f"the queue of {item.service!r} holds its {limit} requests; one of"
            f" {item.organisation!r} with priority {item.priority} gives way",
            retry_after_ms,
        )

    def take(
        self,
        service: ServiceId,
        now_s: float,
        slowdown: float = 1.0,
        target: TargetId | None = None,
        only_repeatable: bool = False,
    ) -> QueuedRequest | None:
        """Removes and returns the next request that can use a slot.

        Its deadline has not passed, and it is expected to end before that.
        The caller must ``report_slot_time`` each request once, however often
        it is taken.

        Args:
            service: Service.
            now_s: Time.
            slowdown: Expected time to completion at the slot, relative to the
                usual slot time; above 0.
            target: Target of the slot, if it is known.
            only_repeatable: Whether the slot is only for requests that may
                run more than once.

        Returns:
            The request, or None if no waiting request can use the slot.
        """
        queue = self._services.get(service)
        if queue is None:
            return None
        for organisation in list(queue.active_organisations):
            self._drop_expired(queue, organisation, now_s)
        if not queue.active_organisations:
            return None
        queue.slots.on_slot(slowdown, now_s)
        declined_s = queue.declined_since_s
        if declined_s is not None and now_s - declined_s >= MAX_DECLINED_S:
            slowdown = min(slowdown, 1.0)
        choices = slot_choices(queue, now_s, slowdown, target, only_repeatable)
        if not choices:
            if declined_s is None:
                queue.declined_since_s = now_s
            self._counters.increment("queue.slots_declined")
            return None
        queue.declined_since_s = None
        organisation = self._next_organisation(queue, choices)
        flow = queue.flows[organisation]
        entry = flow.pop_at(choices.get(organisation, 0))
        queue.on_removed(entry)
        queue.rates.on_take(entry.item.priority, now_s)
        queue.pace.on_take(now_s, queue.rates.taken_per_s(now_s))
        if not queue.size:
            queue.pace.on_empty()
        if not entry.item.is_charged:
            flow.deficit_s -= entry.estimate_s
            flow.charged_estimates_s.append(entry.estimate_s)
        if not flow.backlog:
            self._deactivate(queue, organisation)
        return entry.item

    def report_work(
        self,
        service: ServiceId,
        route: RouteId,
        work_s: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Records an answer, from which the work of its route is learnt.

        Args:
            service: Service of the request.
            route: Route of the request.
            work_s: Time from sending the request to the end of the answer.
            slowdown: Slowdown that was expected of the target.
            now_s: Time.
        """
        self._work.report(service, route, work_s, slowdown, now_s)

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

    def _evict_late(self, queue: ServiceQueue, now_s: float) -> None:
        """Evicts the requests that will not be served in time."""
        view = view_queue(queue, now_s)
        for organisation in list(queue.active_organisations):
            flow = queue.flows[organisation]
            for index, position, entry in reversed(flow.positions()):
                refusal = self._forecast_refusal(
                    queue, flow, view, entry, position, now_s
                )
                if refusal is None:
                    continue
                queue.on_removed(flow.pop_at(index))
                self._refuse_later(entry.item, refusal)
            if not flow.backlog:
                self._deactivate(queue, organisation)

    def _forecast_refusal(
        self,
        queue: ServiceQueue,
        flow: Flow,
        view: QueueView,
        entry: QueueEntry,
        position: int,
        now_s: float,
    ) -> Refusal | None:
        """Returns the refusal of a request that will not be served in time.

        Args:
            queue: Queue of its service.
            flow: Requests of its organisation.
            view: What waits for the service.
            entry: The request.
            position: Requests of the organisation and priority before it.
            now_s: Time.
        """
        item = entry.item
        left_s = item.deadline_s - now_s
        pace_per_s = queue.pace.per_s(now_s)
        wait_s = 0.0
        # A repeat that is refused may have run, so its caller gains nothing
        # by an early refusal.
        if pace_per_s is not None and not item.is_repeat:
            wait_s = self._wait_s(queue, flow, view, entry, position, now_s)
        room = self._fleet_room(item.service, now_s)
        if room is not None and not item.is_repeat:
            # Other nodes send requests of higher priorities first.
            wait_s = max(wait_s, room.wait_above_s(item.priority) or 0.0)
        shortest_s = entry.work.shortest_s
        if pace_per_s is not None and not item.is_repeat:
            shortest_s = max(shortest_s, MIN_SLOT_SHARE * entry.estimate_s)
        if FORECAST_SHARE * wait_s + shortest_s <= left_s:
            return None
        self._counters.increment("queue.refused_early")
        self._counters.increment(f"queue.refused_early.{item.priority}")
        return Refusal(
            RefusalCode.QUEUE_FULL,
            RunState.NOT_RUN,
            f"{queue.size} requests wait for {item.service!r}; one of priority"
            f" {item.priority} would begin in {wait_s:.2f} s, needs"
            f" {shortest_s:.2f} s or more and has {left_s:.2f} s",
            _retry_after_ms(
                queue, item, left_s, pace_per_s or 1 / entry.estimate_s, now_s
            ),
        )

    def _wait_s(
        self,
        queue: ServiceQueue,
        flow: Flow,
        view: QueueView,
        entry: QueueEntry,
        position: int,
        now_s: float,
    ) -> float:
        """Returns when a request begins, from the pace of the service."""
        priority = entry.item.priority
        pace_per_s = queue.pace.per_s(now_s)
        before_count = view.count_before(priority, flow, position)
        stall_wait_s = queue.pace.stall_wait_s(
            view.count_above(priority) + before_count + 1, now_s
        )
        if stall_wait_s is not None:
            return stall_wait_s
        above_share = queue.rates.offered_share(now_s, priority, above=True)
        if above_share:
            above_count = view.count_above(priority)
            wait_s = (above_count + before_count + 1) / queue.pace.left_per_s(
                above_share, now_s
            )
            granted_per_s = (
                MIN_SERVED_SHARE
                * pace_per_s
                * queue.rates.offered_share(now_s, priority)
            )
            if granted_per_s > 0:
                wait_s = min(wait_s, (before_count + 1) / granted_per_s)
        else:
            wait_s = (before_count + 1) / pace_per_s
        begin_s = now_s + FORECAST_SHARE * wait_s
        if entry.prospect(begin_s) is Prospect.IN_TIME:
            return wait_s
        # It gives way to all requests that can meet their objective, also to
        # those that will arrive.
        late_count = view.feasible_count + view.count_late_before(entry)
        surplus_per_s = queue.pace.surplus_per_s(now_s)
        return max(wait_s, (late_count + 1) / surplus_per_s)

    def _flow(self, queue: ServiceQueue, organisation: OrganisationId) -> Flow:
        # Above 0, because backlogs are divided by weights.
        weight = max(self._rate_of(organisation), 1e-9)
        flow = queue.flows.get(organisation)
        if flow is None:
            flow = queue.flows[organisation] = Flow(weight)
        flow.weight = weight
        return flow

    def _next_organisation(
        self, queue: ServiceQueue, eligible: Collection[OrganisationId]
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

    def _evict(self, queue: ServiceQueue, now_s: float) -> QueuedRequest:
        """Removes and returns the request that gives way on overflow."""
        organisations: Collection[OrganisationId] = queue.active_organisations
        if queue.has_several_priorities:
            costs = eviction_costs(queue, now_s)
            least = min(cost for cost, _ in costs.values())
            organisations = [o for o in costs if costs[o][0] == least]
        organisation = max(
            organisations,
            key=lambda o: queue.flows[o].backlog_s / queue.flows[o].weight,
        )
        flow = queue.flows[organisation]
        if queue.has_several_priorities:
            index = costs[organisation][1]
        else:
            index = flow.newest_first_attempt()
        evicted = flow.pop_at(index)
        queue.on_removed(evicted)
        if not flow.backlog:
            self._deactivate(queue, organisation)
        return evicted.item

    def _drop_expired(
        self, queue: ServiceQueue, organisation: OrganisationId, now_s: float
    ) -> None:
        """Drops expired requests from the front of the backlog."""
        flow = queue.flows[organisation]
        while flow.backlog and flow.backlog[0].item.deadline_s <= now_s:
            entry = flow.pop()
            queue.on_removed(entry)
            self._expired.append(entry.item)
        if not flow.backlog:
            self._deactivate(queue, organisation)

    def _deactivate(
        self, queue: ServiceQueue, organisation: OrganisationId
    ) -> None:
        queue.active_organisations.remove(organisation)
        # An organisation without waiting requests keeps no credit.
        flow = queue.flows[organisation]
        flow.deficit_s = min(flow.deficit_s, 0.0)


def _moving_average(average: float, sample: float) -> float:
    return average + ESTIMATE_WEIGHT * (sample - average)


def _retry_after_ms(
    queue: ServiceQueue,
    item: QueuedRequest,
    left_s: float,
    pace_per_s: float,
    now_s: float,
) -> int:
    returns = queue.returns_of(item.priority)
    return round(1000 * returns.retry_after_s(left_s, pace_per_s, now_s))
