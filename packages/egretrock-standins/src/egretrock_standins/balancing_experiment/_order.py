"""Wait of the worst-served organisation under each queue order."""

import collections
import enum
import heapq
import random

import msgspec

from egretrock.coordination.queueing import FairQueue, QueuedRequest
from egretrock.state.ids import OrganisationId, ServiceId, TicketId

SERVICE = ServiceId("records")
#: Requests offered before this time are not measured.
WARMUP_S = 3.0


class QueueOrder(enum.Enum):
    """Orders in which waiting requests get a slot."""

    FIRST_COME = "first-come"
    FAIR_COUNT = "fair-count"
    FAIR_SLOT_TIME = "fair-slot-time"


class ExcessKind(enum.Enum):
    """How one organisation demands 4 times its share."""

    REQUESTS = "4x-requests"
    SLOT_TIME = "4x-slot-time"


class OrderRun(msgspec.Struct, frozen=True):
    """Parameters of one run: one queue in front of the slots of a service.

    Attributes:
        order: Queue order.
        excess: How the first organisation exceeds its share.
        others_load: Load of each other organisation as a fraction of its
            share.
        seed: Seed.
        span_s: Measured time in virtual seconds.
        organisation_count: Number of organisations, which have equal rates.
        slots: Number of slots.
        bound: Largest number of waiting requests.
        deadline_s: Longest wait.
        service_s: Mean service time.
    """

    order: QueueOrder
    excess: ExcessKind
    others_load: float = 0.7
    seed: int = 1
    span_s: float = 60.0
    organisation_count: int = 8
    slots: int = 24
    bound: int = 200
    deadline_s: float = 1.0
    service_s: float = 0.02


class OrderMetrics(msgspec.Struct, frozen=True):
    """Metrics of one run.

    Attributes:
        wait_p99_ms: 99th percentile of the wait, for the worst-served
            organisation within its share.
        refused: Fraction of the requests that were refused or expired, for
            the worst-served organisation within its share.
        excess_refused: This fraction for the organisation beyond its share.
    """

    wait_p99_ms: float
    refused: float
    excess_refused: float


class _FifoQueue:
    """First-come-first-served queue with the same methods as ``FairQueue``."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._requests: collections.deque[QueuedRequest] = collections.deque()

    def offer(self, request: QueuedRequest, now_s: float) -> bool:
        if len(self._requests) >= self._bound:
            return False
        self._requests.append(request)
        return True

    def take(self, now_s: float) -> QueuedRequest | None:
        while self._requests:
            request = self._requests.popleft()
            if request.deadline_s > now_s:
                return request
        return None

    def report_slot_time(
        self, request: QueuedRequest, slot_time_s: float
    ) -> None:
        pass

    def take_evicted(self) -> list[QueuedRequest]:
        return []


class _FairQueueAdapter:
    """``FairQueue``, charged by slot time or a constant per request."""

    def __init__(self, bound: int, by_count: bool) -> None:
        self._queue = FairQueue(lambda _: 1.0, lambda _: bound)
        self._by_count = by_count

    def offer(self, request: QueuedRequest, now_s: float) -> bool:
        return self._queue.offer(request, now_s).is_ok()

    def take(self, now_s: float) -> QueuedRequest | None:
        self._queue.expire(now_s)
        return self._queue.take(SERVICE, now_s)

    def report_slot_time(
        self, request: QueuedRequest, slot_time_s: float
    ) -> None:
        cost_s = 0.02 if self._by_count else slot_time_s
        self._queue.report_slot_time(request.organisation, SERVICE, cost_s)

    def take_evicted(self) -> list[QueuedRequest]:
        return self._queue.take_evicted()


class _QueueModel:
    def __init__(self, run: OrderRun) -> None:
        self._run = run
        self._rng = random.Random(run.seed)
        if run.order is QueueOrder.FIRST_COME:
            self._queue: _FifoQueue | _FairQueueAdapter = _FifoQueue(run.bound)
        else:
            by_count = run.order is QueueOrder.FAIR_COUNT
            self._queue = _FairQueueAdapter(run.bound, by_count)
        #: Time, ticket, request, and slot time; -1 marks an arrival.
        self._events: list[tuple[float, int, QueuedRequest, float]] = []
        self._next_ticket = 0
        self._busy_slots = 0
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
                sends_excess = run.excess is ExcessKind.REQUESTS
                rate_per_s = share_per_s * (4 if sends_excess else 1)
            at_s = 0.0
            while at_s < WARMUP_S + run.span_s:
                at_s += self._rng.expovariate(rate_per_s)
                self._next_ticket += 1
                request = QueuedRequest(
                    TicketId(self._next_ticket),
                    SERVICE,
                    organisation,
                    at_s + run.deadline_s,
                )
                event = (at_s, self._next_ticket, request, -1.0)
                self._events.append(event)
        heapq.heapify(self._events)
        while self._events:
            now_s, _, request, slot_time_s = heapq.heappop(self._events)
            if slot_time_s < 0:
                self._arrive(request, now_s)
            else:
                self._busy_slots -= 1
                self._queue.report_slot_time(request, slot_time_s)
            self._start_requests(now_s)

    def _arrive(self, request: QueuedRequest, now_s: float) -> None:
        if now_s >= WARMUP_S:
            self.offered[request.organisation] += 1
        self._queue.offer(request, now_s)
        self._queue.take_evicted()

    def _start_requests(self, now_s: float) -> None:
        run = self._run
        while self._busy_slots < run.slots:
            request = self._queue.take(now_s)
            if request is None:
                return
            self._busy_slots += 1
            offered_s = request.deadline_s - run.deadline_s
            if offered_s >= WARMUP_S:
                waits = self.waits_s.setdefault(request.organisation, [])
                waits.append(now_s - offered_s)
            slot_time_s = run.service_s * self._rng.lognormvariate(-0.125, 0.5)
            runs_longer = run.excess is ExcessKind.SLOT_TIME
            if runs_longer and request.organisation == "o0":
                slot_time_s *= 4
            event = (now_s + slot_time_s, request.ticket, request, slot_time_s)
            heapq.heappush(self._events, event)


def run_order(run: OrderRun) -> OrderMetrics:
    """Runs the model once."""
    model = _QueueModel(run)
    model.simulate()
    refused = {
        organisation: 1 - len(model.waits_s.get(organisation, ())) / offered
        for organisation, offered in model.offered.items()
    }
    other_organisations = [o for o in model.offered if o != "o0"]
    p99_s = [
        sorted(waits)[int(len(waits) * 0.99)]
        for organisation, waits in model.waits_s.items()
        if organisation != "o0"
    ]
    return OrderMetrics(
        wait_p99_ms=1000 * max(p99_s),
        refused=max(refused[o] for o in other_organisations),
        excess_refused=refused[OrganisationId("o0")],
    )
