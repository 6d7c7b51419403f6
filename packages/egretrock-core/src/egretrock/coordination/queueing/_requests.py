"""Waiting requests and their prospects."""

import enum
import math

import msgspec

from egretrock.coordination.queueing._work import WorkEstimate
from egretrock.state.ids import (
    OrganisationId,
    RouteId,
    ServiceId,
    TargetId,
    TicketId,
)


class QueuedRequest(msgspec.Struct, frozen=True):
    """One waiting request.

    Attributes:
        ticket: Number of the request, unique within the process.
        service: Service that serves it.
        organisation: Organisation it belongs to.
        deadline_s: Time from which it must not be sent to a target.
        objective_s: Time until which its answer has its full value.
        priority: Its priority, 0 is the highest.
        route: Route whose requests need similar work, or empty.
        is_repeat: Whether an earlier attempt of it was sent to a target.
        is_repeatable: Whether it may run more than once.
        is_charged: Whether it was taken before, and its slot time charged.
        excluded: Targets that it must not be sent to.
    """

    ticket: TicketId
    service: ServiceId
    organisation: OrganisationId
    deadline_s: float
    objective_s: float = math.inf
    priority: int = 0
    route: RouteId = RouteId("")
    is_repeat: bool = False
    is_charged: bool = False
    is_repeatable: bool = True
    excluded: frozenset[TargetId] = frozenset()


class Prospect(enum.IntEnum):
    """What a request can still get if it begins now; the first is best."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class QueueEntry(msgspec.Struct):
    """A waiting request and the work that it is expected to need.

    Attributes:
        item: The request.
        estimate_s: Slot time that its organisation is charged in advance.
        work: Work of the requests of its route.
    """

    item: QueuedRequest
    estimate_s: float
    work: WorkEstimate

    def full_value_until_s(self) -> float:
        """Returns the time until which an answer has its full value."""
        return min(self.item.objective_s, self.item.deadline_s)

    def latest_start_s(self) -> float:
        """Returns the time until which it can begin and meet its objective."""
        return self.full_value_until_s() - self.work.typical_s

    def prospect(self, now_s: float, slowdown: float = 1.0) -> Prospect:
        """Returns what the request gets from a slot.

        Args:
            now_s: Time at which it begins.
            slowdown: Time to completion relative to the usual.
        """
        if now_s + slowdown * self.work.typical_s <= self.full_value_until_s():
            return Prospect.IN_TIME
        if now_s + slowdown * self.work.shortest_s < self.item.deadline_s:
            return Prospect.LATE
        return Prospect.TOO_LATE
