"""Room of a service, as one node or the fleet sees it."""

import msgspec


class ServiceRoom(msgspec.Struct, frozen=True):
    """Demand for a service and what it takes.

    Attributes:
        offered_per_s: Requests offered per second.
        taken_per_s: Requests sent to targets per second.
        waiting: Requests that wait, by priority; the first is the highest.
    """

    offered_per_s: float
    taken_per_s: float
    waiting: tuple[int, ...]

    def wait_s(self, priority: int) -> float | None:
        """Returns when a new request of a priority would begin, in seconds.

        Requests of this and of higher priorities are served before it.

        Returns:
            The wait, or None if nothing waits or none is taken.
        """
        ahead_count = sum(self.waiting[: priority + 1])
        if not ahead_count or self.taken_per_s <= 0:
            return None
        return ahead_count / self.taken_per_s
