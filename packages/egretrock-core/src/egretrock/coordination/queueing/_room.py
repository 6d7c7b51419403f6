"""How much of a service's load finds room."""

import msgspec


class ServiceRoom(msgspec.Struct, frozen=True):
    """Load of one service and how much of it targets took.

    Attributes:
        offered_per_s: Requests per second that arrived for the service.
        taken_per_s: Requests per second that targets took.
        waiting: Waiting requests by rank, the most urgent rank first.
    """

    offered_per_s: float
    taken_per_s: float
    waiting: tuple[int, ...]
