"""The random fault schedule of a seed."""

import enum
import random
from typing import NamedTuple


class EventKind(enum.Enum):
    """Faults of nodes, links and the store, and changes in the store."""

    KILL = "kill"  # restarted at the end
    LEAVE = "leave"  # a drain: the node serves until the end, then restarts
    FREEZE = "freeze"
    CUT = "cut"  # a group of nodes is partitioned from all others
    ISOLATE = "isolate"  # each of some nodes is partitioned from all others
    ONE_WAY = "one_way"  # messages that some nodes send are lost
    LOSS = "loss"  # a tenth of the messages is lost
    REPEAT = "repeat"  # half of the messages are duplicated
    STORE_DOWN = "store_down"
    STORE_REFUSES = "store_refuses"  # reads of some nodes fail
    STORE_FORGETS = "store_forgets"  # its history of changes is lost
    WRITE = "write"  # an entry of the store changes
    WALL_STEP = "wall_step"  # of the nodes that start later


class Event(NamedTuple):
    """One fault or change.

    Attributes:
        kind: Its kind.
        nodes: Indexes of the affected nodes.
        at_s: Seconds after the start of the schedule.
        duration_s: Seconds for which it lasts.
    """

    kind: EventKind
    nodes: tuple[int, ...]
    at_s: float
    duration_s: float


def generate_schedule(
    seed: int, nodes: int, span_s: float
) -> tuple[Event, ...]:
    """Generates a schedule; the same arguments give the same one.

    A schedule repeats a few kinds of fault, which may overlap; this finds
    more violations than single faults of all kinds.

    Example:
        >>> generate_schedule(1, 16, 10.0) == generate_schedule(1, 16, 10.0)
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
