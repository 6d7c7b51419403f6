"""What each order of waiting gives the worst-served organisation."""

import collections
import enum
import heapq
import random

import msgspec

from egretrock.coordination.queueing import FairQueue, QueuedRequest
from egretrock.state.ids import OrganisationId, ServiceId, TicketId

SERVICE = ServiceId("records")
#: Requests offered before do not count.
WARM_S = 3.0


class Order(enum.Enum):
    """Orders of waiting."""

    FIRST_COME = "first-come"
    FAIR_COUNT = "fair-count"
    FAIR_SLOT_TIME = "fair-slot-time"


class Excess(enum.Enum):
    """How one organisation takes 4 times its share."""

    REQUESTS = "4x-requests"
    SLOT_TIME = "4x-slot-time"


class OrderRun(msgspec.Struct, frozen=True):
    """Parameters of one run: one queue in front of the slots of a service.

    Attributes:
        order: Order of waiting.
        excess: How the first organisation exceeds its share.
        others_load: Load of each other organisation over its share.
        seed: Seed.
        span_s: Virtual seconds that count.
        organisation_count: Organisations of equal rate.
        slots: Slots.
        bound: Most waiting requests.
        deadline_s: Longest wait.
        service_s: Mean service time.
    """

    order: Order
    excess: Excess
    others_load: float = 0.7
    seed: int = 1
    span_s: float = 60.0
    organisation_count: int = 8
    slots: int = 24
    bound: int = 200
    deadline_s: float = 1.0
    service_s: float = 0.02


class OrderFigures(msgspec.Struct, frozen=True):
    """Figures of one run; the worst of the organisations within their share.

    Attributes:
        wait_p99_ms: 99th percentile of the wait of the worst-served one.
        refused: Share of its requests that were refused or expired.
        excess_refused: The same for the organisation beyond its share.
    """

    wait_p99_ms: float
    refused: float
    excess_refused: float


class _Line:
    """First come first served with one bound, in the form of FairQueue."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._items: collections.deque[QueuedRequest] = collections.deque()

    def offer(self, item: QueuedRequest, now_s: float) -> bool:
        if len(self._items) >= self._bound:
            return False
        self._items.append(item)
        return True

    def take(self, now_s: float) -> QueuedRequest | None:
        while self._items:
            item = self._items.popleft()
            if item.deadline_s > now_s:
                return item
        return None

    def settle(self, item: QueuedRequest, slot_time_s: float) -> None:
        pass

    def evicted(self) -> list[QueuedRequest]:
        return []


class _Fair:
    """FairQueue, charged by slot time or by count."""

    def __init__(self, bound: int, by_count: bool) -> None:
        self._queue = FairQueue(lambda _: 1.0, lambda _: bound)
        self._by_count = by_count

    def offer(self, item: QueuedRequest, now_s: float) -> bool:
        return self._queue.offer(item, now_s).is_ok()

    def take(self, now_s: float) -> QueuedRequest | None:
        self._queue.expire(now_s)
        return self._queue.take(SERVICE, now_s)

    def settle(self, item: QueuedRequest, slot_time_s: float) -> None:
        cost_s = 0.02 if self._by_count else slot_time_s
        self._queue.settle(item.organisation, SERVICE, cost_s)

    def evicted(self) -> list[QueuedRequest]:
        return self._queue.evicted()


class _Model:
    def __init__(self, run: OrderRun) -> None:
        self._run = run
        self._rng = random.Random(run.seed)
        if run.order is Order.FIRST_COME:
            self._queue: _Line | _Fair = _Line(run.bound)
        else:
            by_count = run.order is Order.FAIR_COUNT
            self._queue = _Fair(run.bound, by_count)
        self._events: list[tuple[float, int, QueuedRequest, float]] = []
        self._next_ticket = 0
        self._busy = 0
        self.offered: collections.Counter[OrganisationId]
        self.offered = collections.Counter()
        self.waits_s: dict[OrganisationId, list[float]] = {}

    def simulate(self) -> None:
        run = self._run
        share_per_s = run.slots / run.service_s / run.organisation_count
        for index in range(run.organisation_count):
            organisation = OrganisationId(f"o{index}")
            rate_per_s = share_per_s * run.others_load
            if index == 0:
                by_count = run.excess is Excess.REQUESTS
                rate_per_s = share_per_s * (4 if by_count else 1)
            at_s = 0.0
            while at_s < WARM_S + run.span_s:
                at_s += self._rng.expovariate(rate_per_s)
                self._next_ticket += 1
                item = QueuedRequest(
                    TicketId(self._next_ticket),
                    SERVICE,
                    organisation,
                    at_s + run.deadline_s,
                )
                event = (at_s, self._next_ticket, item, -1.0)
                self._events.append(event)
        heapq.heapify(self._events)
        while self._events:
            now_s, _, item, slot_time_s = heapq.heappop(self._events)
            if slot_time_s < 0:
                self._arrive(item, now_s)
            else:
                self._busy -= 1
                self._queue.settle(item, slot_time_s)
            self._start(now_s)

    def _arrive(self, item: QueuedRequest, now_s: float) -> None:
        if now_s >= WARM_S:
            self.offered[item.organisation] += 1
        self._queue.offer(item, now_s)
        self._queue.evicted()

    def _start(self, now_s: float) -> None:
        run = self._run
        while self._busy < run.slots:
            item = self._queue.take(now_s)
            if item is None:
                return
            self._busy += 1
            offered_s = item.deadline_s - run.deadline_s
            if offered_s >= WARM_S:
                waits = self.waits_s.setdefault(item.organisation, [])
                waits.append(now_s - offered_s)
            time_s = run.service_s * self._rng.lognormvariate(-0.125, 0.5)
            slow = run.excess is Excess.SLOT_TIME
            if slow and item.organisation == "o0":
                time_s *= 4
            event = (now_s + time_s, item.ticket, item, time_s)
            heapq.heappush(self._events, event)


def run_order(run: OrderRun) -> OrderFigures:
    """Runs the model once."""
    model = _Model(run)
    model.simulate()
    refused = {
        organisation: 1 - len(model.waits_s.get(organisation, ())) / offered
        for organisation, offered in model.offered.items()
    }
    others = [o for o in model.offered if o != "o0"]
    p99_s = [
        sorted(waits)[int(len(waits) * 0.99)]
        for organisation, waits in model.waits_s.items()
        if organisation != "o0"
    ]
    return OrderFigures(
        wait_p99_ms=1000 * max(p99_s),
        refused=max(refused[o] for o in others),
        excess_refused=refused[OrganisationId("o0")],
    )
