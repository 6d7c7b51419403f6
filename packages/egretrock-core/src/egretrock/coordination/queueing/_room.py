"""Room of a service, as one node or the fleet sees it."""

import msgspec

#: Priorities that are counted apart; lower ones are counted with the last.
MAX_RANKS = 8


def rank_of(priority: int) -> int:
    """Returns the position of a priority in ``ServiceRoom.waiting``.

    Example:
        >>> rank_of(2), rank_of(-1), rank_of(10**9)
        (2, 0, 7)
    """
    return min(max(priority, 0), MAX_RANKS - 1)


class ServiceRoom(msgspec.Struct, frozen=True):
    """Demand for a service and what it takes.

    Attributes:
        offered_per_s: Requests offered per second.
        taken_per_s: Requests sent to targets per second.
        waiting: Requests that wait, by ``rank_of`` their priority.
    """

    offered_per_s: float
    taken_per_s: float
    waiting: tuple[int, ...]

    def wait_above_s(self, priority: int) -> float | None:
        """Returns when all requests of higher priorities would have begun.

        Returns:
            The wait in seconds, or None if none waits or none is taken.
        """
        ahead_count = sum(self.waiting[: rank_of(priority)])
        if not ahead_count or self.taken_per_s <= 0:
            return None
        return ahead_count / self.taken_per_s
