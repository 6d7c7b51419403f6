"""Requests of one service that wait, by organisation."""

import bisect
import collections
import math

import msgspec

from egretrock.coordination.queueing._forecast import ReturnTimes, ServicePace
from egretrock.coordination.queueing._ranks import RankRates
from egretrock.coordination.queueing._requests import Prospect, QueueEntry
from egretrock.coordination.queueing._slots import RecentSlots
from egretrock.state.ids import OrganisationId

#: Estimated slot time until the first request of a service has ended.
DEFAULT_SLOT_TIME_S = 0.02
#: Maximum number of requests in flight of one organisation whose estimates are
#: kept.
MAX_CHARGED = 10_000


class Flow:
    """Requests of one organisation for one service.

    A positive deficit is slot time to spend, a negative one is debt.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.backlog: collections.deque[QueueEntry] = collections.deque()
        self.backlog_s = 0.0
        self.deficit_s = 0.0
        self.charged_estimates_s: collections.deque[float] = collections.deque(
            maxlen=MAX_CHARGED
        )
        self.estimate_s: float | None = None
        self.idle_since_s = 0.0

    def count_of(self, priority: int) -> int:
        """Returns the number of waiting requests of a priority."""
        return sum(entry.item.priority == priority for entry in self.backlog)

    def newest_first_attempt(self) -> int:
        """Returns the index of the newest request that is no repeat.

        Returns:
            The index, or that of the newest request if all are repeats.
        """
        last = len(self.backlog) - 1
        for back, entry in enumerate(reversed(self.backlog)):
            if not entry.item.is_repeat:
                return last - back
        return last

    def positions(self) -> list[tuple[int, int, QueueEntry]]:
        """Returns the waiting requests, the oldest first.

        Returns:
            For each its index, the number of requests of its priority before
            it, and the request.
        """
        counts: collections.Counter[int] = collections.Counter()
        positions = []
        for index, entry in enumerate(self.backlog):
            priority = entry.item.priority
            positions.append((index, counts[priority], entry))
            counts[priority] += 1
        return positions

    def append(self, entry: QueueEntry) -> None:
        """Adds the newest request."""
        self.backlog.append(entry)
        self.backlog_s += entry.estimate_s

    def pop(self, newest: bool = False) -> QueueEntry:
        """Removes and returns the oldest request, or the newest."""
        entry = self.backlog.pop() if newest else self.backlog.popleft()
        return self._removed(entry)

    def pop_at(self, index: int) -> QueueEntry:
        """Removes and returns the request at an index."""
        entry = self.backlog[index]
        del self.backlog[index]
        return self._removed(entry)

    def _removed(self, entry: QueueEntry) -> QueueEntry:
        # An empty backlog is exactly 0, without accumulated rounding errors.
        remaining_s = self.backlog_s - entry.estimate_s
        self.backlog_s = remaining_s if self.backlog else 0.0
        return entry


class ServiceQueue:
    """Requests of all organisations for one service.

    Attributes:
        flows: Requests by organisation.
        active_organisations: Organisations with waiting requests, in the
            order of their turns.
        waiting_by_priority: Number of waiting requests of each priority.
        estimate_s: Mean slot time.
        pace: Rate at which requests are taken.
        rates: Requests offered and taken, by priority.
        returns: Times at which refused callers return, by priority.
        next_forecast_s: Time at which waiting requests are checked next.
        declined_since_s: Time since which no waiting request could use any
            slot, or None.
        slots: Slowdown of the slots that were offered lately.
    """

    def __init__(self) -> None:
        self.flows: dict[OrganisationId, Flow] = {}
        self.active_organisations: collections.deque[OrganisationId] = (
            collections.deque()
        )
        self.waiting_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self.size = 0
        self.estimate_s = DEFAULT_SLOT_TIME_S
        self.pace = ServicePace()
        self.rates = RankRates()
        self.returns: dict[int, ReturnTimes] = {}
        self.next_forecast_s = 0.0
        self.declined_since_s: float | None = None
        self.slots = RecentSlots()

    @property
    def has_several_priorities(self) -> bool:
        """Whether requests of more than one priority wait."""
        return len(self.waiting_by_priority) > 1

    def add(self, flow: Flow, entry: QueueEntry) -> None:
        """Adds a request to the requests of its organisation."""
        if not flow.backlog:
            self.active_organisations.append(entry.item.organisation)
        flow.append(entry)
        self.size += 1
        self.waiting_by_priority[entry.item.priority] += 1

    def on_removed(self, entry: QueueEntry) -> None:
        """Counts a request that was removed from its flow."""
        self.size -= 1
        priority = entry.item.priority
        self.waiting_by_priority[priority] -= 1
        if not self.waiting_by_priority[priority]:
            del self.waiting_by_priority[priority]
        if not self.size:
            self.declined_since_s = None

    def returns_of(self, priority: int) -> ReturnTimes:
        """Returns the times at which refused callers of a priority return."""
        return self.returns.setdefault(priority, ReturnTimes())


class QueueView(msgspec.Struct):
    """What waits for a service at one moment.

    Attributes:
        feasible: For each priority and organisation, the organisation's flow
            and its number of requests that can meet their objective.
        feasible_count: Sum of those requests.
        late: Priorities and deadlines of the other requests, sorted.
    """

    feasible: dict[int, dict[OrganisationId, tuple[Flow, int]]]
    feasible_count: int
    late: list[tuple[int, float]]

    def count_above(self, priority: int) -> int:
        """Returns how many feasible requests have a higher priority."""
        return sum(
            count
            for other, flows in self.feasible.items()
            if other < priority
            for _, count in flows.values()
        )

    def count_before(self, priority: int, flow: Flow, position: int) -> int:
        """Returns how many feasible requests of one priority go before one.

        Args:
            priority: Priority of the request.
            flow: Requests of its organisation.
            position: Requests of the organisation before it.
        """
        rounds = (position + 1) / flow.weight
        count_before = 0
        for other, count in self.feasible.get(priority, {}).values():
            if other is flow:
                count_before += min(position, count)
            else:
                count_before += min(count, math.ceil(rounds * other.weight))
        return count_before

    def count_late_before(self, entry: QueueEntry) -> int:
        """Returns how many late requests go before a late one."""
        own = (entry.item.priority, entry.item.deadline_s)
        return bisect.bisect_left(self.late, own)


def view_queue(queue: ServiceQueue, now_s: float) -> QueueView:
    """Returns what waits for a service."""
    view = QueueView({}, 0, [])
    for organisation in queue.active_organisations:
        flow = queue.flows[organisation]
        counts: collections.Counter[int] = collections.Counter()
        for entry in flow.backlog:
            item = entry.item
            if entry.prospect(now_s) is Prospect.IN_TIME:
                counts[item.priority] += 1
            else:
                view.late.append((item.priority, item.deadline_s))
        for priority, count in counts.items():
            flows = view.feasible.setdefault(priority, {})
            flows[organisation] = (flow, count)
            view.feasible_count += count
    view.late.sort()
    return view
