"""Which troubles a seed brings, and when."""

import enum
import random
from typing import NamedTuple


class EventKind(enum.Enum):
    """Troubles of nodes, links and the store."""

    KILL = "kill"  # and a start at the end
    LEAVE = "leave"  # a planned stop: the node serves on, ends, and starts
    FREEZE = "freeze"
    CUT = "cut"  # some nodes from all others, together
    ISOLATE = "isolate"  # each of some nodes from all others
    ONE_WAY = "one_way"  # what some nodes send is lost
    LOSS = "loss"  # of a tenth of the messages
    REPEAT = "repeat"  # of half of the messages
    STORE_DOWN = "store_down"
    STORE_REFUSES = "store_refuses"  # some nodes
    STORE_FORGETS = "store_forgets"  # its history
    WRITE = "write"  # an entry changes
    WALL_STEP = "wall_step"  # wall clocks of nodes that start later


class Event(NamedTuple):
    """One trouble.

    Attributes:
        kind: What happens.
        nodes: Indexes of the nodes that it strikes.
        at_s: Seconds after the start of the schedule.
        for_s: Seconds for which it lasts.
    """

    kind: EventKind
    nodes: tuple[int, ...]
    at_s: float
    for_s: float


def draw_schedule(seed: int, nodes: int, span_s: float) -> tuple[Event, ...]:
    """Draws a schedule; the same arguments give the same one.

    A few kinds come again and again and overlap, which finds more than a
    little of everything.

    Example:
        >>> draw_schedule(1, 16, 10.0) == draw_schedule(1, 16, 10.0)
        True
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(EventKind), rng.randint(1, 4))
    events = []
    for _ in range(rng.randint(2, 8)):
        share = rng.choice((0.07, 0.2, 0.35, 0.6, 1.0))
        count = max(1, round(share * nodes))
        at_s = rng.uniform(0.5, span_s)
        events.append(
            Event(
                rng.choice(kinds),
                tuple(sorted(rng.sample(range(nodes), count))),
                at_s,
                min(rng.choice((0.1, 0.5, 1.5, 4.0)), span_s + 1.0 - at_s),
            )
        )
    events.sort(key=lambda event: event.at_s)
    return tuple(events)
