"""Who is served when a service has too little room for its requests.

Requests of several routes wait in one queue for the slots of a service. The
same arrivals are played with the queue of a node and with a schedule that
knows all of them in advance.
"""

import bisect
import enum
import heapq
import math
import random

import msgspec

from egretrock.coordination.queueing import CallerAges, FairQueue, QueuedRequest
from egretrock.state.ids import (
    OrganisationId,
    RouteId,
    ServiceId,
    TicketId,
)
from egretrock.state.outcome import Refusal

_SERVICE = ServiceId("records")
_TICK_S = 0.005
_SPAN_S = 20.0
_EVENT_FROM_S = 6.0
_SLOTS = 24
#: Free slots whose slowdown is compared for a request.
_COMPARED_SLOTS = 3
#: Pause after a slot that no request could use.
_DECLINED_PAUSE_S = 0.02
_MAX_WAITING = 400


class QueuePolicy(enum.Enum):
    """Ways to decide who waits and who is refused."""

    EQUAL = "equal"
    RANKED = "ranked"
    CLAIRVOYANT = "clairvoyant"


class RouteLoad(msgspec.Struct, frozen=True):
    """Requests of one route.

    Attributes:
        name: Route.
        priority: Priority, 0 is the highest.
        load: Slot time that they need, as a share of all slots.
        work_s: Median slot time.
        objective_s: Time until which an answer has its full value.
        timeout_s: Time after which the request ends at the node.
        deadline_s: Time after which its caller leaves for good.
        event_factor: Factor of the load in the event.
        organisation: Organisation of the callers.
    """

    name: str
    priority: int
    load: float
    work_s: float = 0.16
    objective_s: float = 0.5
    timeout_s: float = 1.2
    deadline_s: float = 2.0
    event_factor: float = 1.0
    organisation: str = ""


class OverloadPattern(msgspec.Struct, frozen=True):
    """A load and what happens to the slots in the event.

    Attributes:
        routes: Routes.
        event_s: Duration of the event.
        lost_share: Share of the slots that are not usable in the event.
        slow_share: Share of the slots that are slow in the event.
        slowdown: Factor of the slot time there.
        return_s: Time after which refused callers return; None obeys the
            time that they are told.
        max_returns: How often a caller returns.
    """

    routes: tuple[RouteLoad, ...]
    event_s: float = 8.0
    lost_share: float = 0.0
    slow_share: float = 0.0
    slowdown: float = 6.0
    return_s: float | None = None
    max_returns: int = 1


class RouteResult(msgspec.Struct):
    """What the callers of one route saw.

    Attributes:
        offered: Requests.
        in_time: Answered within their objective.
        late: Answered later.
        refused: Refused, and not served when they returned.
        expired: Ended at their deadline while they waited.
        in_vain: Begun at a target and not finished before their deadline.
        vain_s: Time that callers spent on requests that were not answered.
        refusal_count: Refusals, also of requests that were served when they
            returned.
        refusal_wait_s: Sum of the waits before these refusals.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    expired: int = 0
    in_vain: int = 0
    vain_s: float = 0.0
    refusal_count: int = 0
    refusal_wait_s: float = 0.0

    def mean_refusal_wait_ms(self) -> float:
        """Returns the mean wait before a refusal in ms; 0 without one."""
        if not self.refusal_count:
            return 0.0
        return 1000 * self.refusal_wait_s / self.refusal_count


class _Request(msgspec.Struct, frozen=True):
    number: int
    route: RouteLoad
    at_s: float
    work_s: float
    organisation: str


_URGENT = RouteLoad("urgent", 1, 0.22, 0.21, 0.6, 1.5, 2.5)
_PLAIN = RouteLoad("plain", 2, 0.5)


def _changed(route: RouteLoad, **changes: object) -> RouteLoad:
    return msgspec.structs.replace(route, **changes)


PATTERNS = {
    "steady load below the capacity": OverloadPattern((_URGENT, _PLAIN)),
    "a burst of twice the capacity": OverloadPattern(
        (
            _changed(_URGENT, event_factor=2.0),
            _changed(_PLAIN, event_factor=3.1),
        )
    ),
    "half of the slots are lost for 8 s": OverloadPattern(
        (_URGENT, _PLAIN), lost_share=0.5
    ),
    "no slot is usable for 4 s": OverloadPattern(
        (_URGENT, _PLAIN), event_s=4.0, lost_share=1.0
    ),
    "one organisation at 7 times its rate": OverloadPattern(
        (
            _changed(_URGENT, organisation="small"),
            _changed(_PLAIN, load=0.35, organisation="small"),
            RouteLoad("large", 2, 0.15, event_factor=7.0, organisation="large"),
        )
    ),
    "0.7 of the slots six times slower, the least urgent route bursts": (
        OverloadPattern(
            (_URGENT, _changed(_PLAIN, event_factor=3.0)), slow_share=0.7
        )
    ),
    "the most urgent route bursts": OverloadPattern(
        (_changed(_URGENT, event_factor=3.5), _PLAIN)
    ),
    "the most urgent route needs more than all slots": OverloadPattern(
        (_changed(_URGENT, event_factor=6.0), _PLAIN)
    ),
    "long and short work in one service": OverloadPattern(
        (
            RouteLoad("short", 1, 0.2, 0.03, 0.15, 0.5, 1.0, 2.0),
            RouteLoad("long", 2, 0.5, 0.6, 1.5, 3.0, 4.0, 2.0),
        )
    ),
    "long and short objectives of one priority": OverloadPattern(
        (
            RouteLoad("hasty", 1, 0.15, 0.06, 0.25, 1.0, 1.5, 3.0),
            RouteLoad("patient", 1, 0.25, 0.2, 1.2, 3.0, 3.5, 2.0),
            _changed(_PLAIN, load=0.3, event_factor=2.0),
        )
    ),
    "a deadline shorter than the queue": OverloadPattern(
        (
            RouteLoad("hasty", 2, 0.2, 0.1, 0.2, 0.3, 0.6, 2.0),
            RouteLoad("patient", 1, 0.6, 0.16, 1.0, 3.0, 3.5, 2.0),
        )
    ),
    "callers that come back at once": OverloadPattern(
        (
            _changed(_URGENT, event_factor=1.5),
            _changed(_PLAIN, event_factor=2.5),
        ),
        return_s=0.03,
        max_returns=3,
    ),
}


class _Slots:
    """The slots of the service and their slowdown."""

    def __init__(self, pattern: OverloadPattern) -> None:
        self._pattern = pattern

    def slowdown(self, slot: int, now_s: float) -> float:
        """Returns the factor of the slot time; infinite if it is lost."""
        pattern, share = self._pattern, (slot + 0.5) / _SLOTS
        event_end_s = _EVENT_FROM_S + pattern.event_s
        if not _EVENT_FROM_S <= now_s < event_end_s:
            return 1.0
        if share < pattern.lost_share:
            return math.inf
        return pattern.slowdown if share < pattern.slow_share else 1.0


def _is_in_event(request: _Request, pattern: OverloadPattern) -> bool:
    return 0 <= request.at_s - _EVENT_FROM_S < pattern.event_s


def _arrivals(pattern: OverloadPattern, rng: random.Random) -> list[_Request]:
    requests = []
    event_end_s = _EVENT_FROM_S + pattern.event_s
    for route in pattern.routes:
        mean_s = route.work_s * 1.1
        at_s = 0.0
        while True:
            is_event = _EVENT_FROM_S <= at_s < event_end_s
            factor = route.event_factor if is_event else 1.0
            at_s += rng.expovariate(route.load * factor * _SLOTS / mean_s)
            if at_s >= _SPAN_S:
                break
            work_s = route.work_s * rng.lognormvariate(0.0, 0.3)
            if rng.random() < 0.03:
                work_s *= 3.0
            organisation = route.organisation
            requests.append(
                _Request(len(requests), route, at_s, work_s, organisation)
            )
    return sorted(requests, key=lambda request: request.at_s)


class _QueuePlay:
    """Plays arrivals against the queue of a node."""

    def __init__(
        self,
        pattern: OverloadPattern,
        policy: QueuePolicy,
        rng: random.Random,
        results: dict[str, RouteResult],
    ) -> None:
        self._pattern, self._rng = pattern, rng
        self._is_ranked = policy is QueuePolicy.RANKED
        self._slots = _Slots(pattern)
        self._results = results
        self._queue = FairQueue(lambda _: 10.0, lambda _: _MAX_WAITING)
        self._ages = CallerAges()
        self._visits: dict[TicketId, tuple[_Request, float, int]] = {}
        #: Time, number, request and count of earlier visits.
        self._coming: list[tuple[float, int, _Request, int]] = []
        self._free = set(range(_SLOTS))
        #: End, slot, ticket, slowdown, slot time and whether it is answered.
        self._running: list[
            tuple[float, int, QueuedRequest, float, float, bool]
        ] = []
        self._declined_until_s = [0.0] * _SLOTS

    def run(self, arrivals: list[_Request]) -> None:
        """Plays all arrivals until the last one has ended."""
        self._coming = [(r.at_s, r.number, r, 0) for r in arrivals]
        heapq.heapify(self._coming)
        now_s = 0.0
        while self._coming or self._running or self._visits:
            now_s += _TICK_S
            while self._running and self._running[0][0] <= now_s:
                self._finish(*heapq.heappop(self._running))
            while self._coming and self._coming[0][0] <= now_s:
                _, _, request, visit = heapq.heappop(self._coming)
                self._offer(request, visit, now_s)
            for item in self._queue.expire(now_s):
                request, at_s, _ = self._visits.pop(item.ticket)
                result = self._result_of(request)
                result.expired += 1
                result.vain_s += now_s - at_s
            self._refuse_evicted(now_s)
            self._start(now_s)

    def _result_of(self, request: _Request) -> RouteResult:
        if _is_in_event(request, self._pattern):
            return self._results[request.route.name]
        return RouteResult()

    def _offer(self, request: _Request, visit: int, now_s: float) -> None:
        route = request.route
        ticket = TicketId(request.number * 10 + visit)
        deadline_s = min(
            now_s + route.timeout_s, request.at_s + route.deadline_s
        )
        left_ms = round(1000 * (request.at_s + route.deadline_s - now_s))
        age_s = self._ages.age_s(RouteId(route.name), left_ms)
        item = QueuedRequest(
            ticket,
            _SERVICE,
            OrganisationId(request.organisation),
            deadline_s,
            now_s + route.objective_s - (age_s if self._is_ranked else 0.0),
            route.priority if self._is_ranked else 0,
            RouteId(route.name),
        )
        self._visits[ticket] = (request, now_s, visit)
        offered = self._queue.offer(item, now_s)
        if offered.is_error():
            self._refuse(item, offered.error, now_s)
        self._refuse_evicted(now_s)

    def _refuse_evicted(self, now_s: float) -> None:
        for item in self._queue.take_evicted():
            self._refuse(item, self._queue.refusal_of(item), now_s)

    def _refuse(
        self, item: QueuedRequest, refusal: Refusal, now_s: float
    ) -> None:
        request, at_s, visit = self._visits.pop(item.ticket)
        result = self._result_of(request)
        result.vain_s += now_s - at_s
        result.refusal_count += 1
        result.refusal_wait_s += now_s - at_s
        return_s = self._pattern.return_s
        if return_s is None:
            return_s = refusal.retry_after_ms / 1000
        back_s = now_s + return_s
        if (
            visit < self._pattern.max_returns
            and back_s < request.at_s + request.route.deadline_s
        ):
            event = (back_s, request.number, request, visit + 1)
            heapq.heappush(self._coming, event)
        else:
            result.refused += 1

    def _start(self, now_s: float) -> None:
        while self._queue.size(_SERVICE):
            usable = [
                slot
                for slot in sorted(self._free)
                if self._slots.slowdown(slot, now_s) < math.inf
                and now_s >= self._declined_until_s[slot]
            ]
            if not usable:
                return
            compared = self._rng.sample(
                usable, min(_COMPARED_SLOTS, len(usable))
            )
            slot = min(compared, key=lambda s: self._slots.slowdown(s, now_s))
            slowdown = self._slots.slowdown(slot, now_s)
            item = self._queue.take(
                _SERVICE, now_s, slowdown if self._is_ranked else 1.0
            )
            if item is None:
                self._declined_until_s[slot] = now_s + _DECLINED_PAUSE_S
                continue
            self._free.discard(slot)
            request = self._visits[item.ticket][0]
            end_s = now_s + request.work_s * slowdown
            is_answered = end_s <= item.deadline_s
            end_s = min(end_s, item.deadline_s)
            heapq.heappush(
                self._running,
                (end_s, slot, item, slowdown, end_s - now_s, is_answered),
            )

    def _finish(
        self,
        end_s: float,
        slot: int,
        item: QueuedRequest,
        slowdown: float,
        slot_time_s: float,
        is_answered: bool,
    ) -> None:
        self._free.add(slot)
        request, at_s, _ = self._visits.pop(item.ticket)
        result = self._result_of(request)
        self._queue.report_slot_time(item.organisation, _SERVICE, slot_time_s)
        if not is_answered:
            result.in_vain += 1
            result.vain_s += end_s - at_s
            return
        if self._is_ranked:
            self._queue.report_work(
                _SERVICE, item.route, slot_time_s, slowdown, end_s
            )
        if end_s <= request.at_s + request.route.objective_s:
            result.in_time += 1
        else:
            result.late += 1


def _play_clairvoyant(
    pattern: OverloadPattern,
    arrivals: list[_Request],
    results: dict[str, RouteResult],
) -> None:
    """Places requests into slots, knowing all arrivals and their work.

    Requests of higher priority are placed first. Those of one priority are
    placed in the order of their arrivals, without the longest ones of the
    event; of several shares left out, the one counts that serves most.
    """
    busy: list[list[tuple[float, float]]] = [[] for _ in range(_SLOTS)]
    for priority in sorted({route.priority for route in pattern.routes}):
        own = [r for r in arrivals if r.route.priority == priority]
        works_s = sorted(r.work_s for r in own)
        best: tuple[list[_Request], list[list[tuple[float, float]]]]
        best = ([], busy)
        for kept in (1.0, 0.85, 0.7, 0.55, 0.4):
            longest_s = works_s[math.ceil(kept * len(works_s)) - 1]
            trial = [list(spans) for spans in busy]
            placed = [
                request
                for request in own
                if (
                    request.work_s <= longest_s
                    or not _is_in_event(request, pattern)
                )
                and _place(_Slots(pattern), trial, request)
            ]
            if len(placed) > len(best[0]):
                best = (placed, trial)
            if len(placed) >= kept * len(own):
                break
        busy = best[1]
        for request in best[0]:
            if _is_in_event(request, pattern):
                results[request.route.name].in_time += 1
    for result in results.values():
        result.refused = result.offered - result.in_time


def _place(
    slots: _Slots, busy: list[list[tuple[float, float]]], request: _Request
) -> bool:
    """Places a request where it ends soonest; returns whether it is in time."""
    best: tuple[tuple[float, float], int] | None = None
    for slot, spans in enumerate(busy):
        span = _first_gap(slots, slot, spans, request)
        if span is not None and (best is None or span[1] < best[0][1]):
            best = (span, slot)
    if best is None:
        return False
    bisect.insort(busy[best[1]], best[0])
    return True


def _first_gap(
    slots: _Slots,
    slot: int,
    busy: list[tuple[float, float]],
    request: _Request,
) -> tuple[float, float] | None:
    """Returns the first span of a slot in which a request is in time."""
    latest_s = request.at_s + request.route.objective_s
    index = bisect.bisect(busy, (request.at_s,))
    begin_s = request.at_s
    if index:
        begin_s = max(begin_s, busy[index - 1][1])
    while begin_s < latest_s:
        end_s = begin_s + request.work_s * slots.slowdown(slot, begin_s)
        next_s = busy[index][0] if index < len(busy) else math.inf
        if end_s <= min(next_s, latest_s):
            return begin_s, end_s
        if index < len(busy):
            begin_s = busy[index][1]
            index += 1
        else:
            # The slot may become faster.
            begin_s += _TICK_S
    return None


def run_overload(
    pattern: OverloadPattern, policy: QueuePolicy, seed: int
) -> dict[str, RouteResult]:
    """Plays a pattern once.

    Returns:
        What the callers of each route saw who arrived in the event.
    """
    arrivals = _arrivals(pattern, random.Random(seed))
    results = {route.name: RouteResult() for route in pattern.routes}
    for request in arrivals:
        if _is_in_event(request, pattern):
            results[request.route.name].offered += 1
    if policy is QueuePolicy.CLAIRVOYANT:
        _play_clairvoyant(pattern, arrivals, results)
    else:
        rng = random.Random(seed + 1)
        _QueuePlay(pattern, policy, rng, results).run(arrivals)
    return results
