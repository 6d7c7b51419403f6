"""Random fault schedules for the coordination parts, in virtual time.

Nodes that discover each other, read a store and divide a rate are killed,
restarted, drained, frozen and partitioned by a seeded schedule, while one
organisation sends many times its rate. The bound on its rate is checked over
the whole run; at the end every node must see the whole fleet again, and must
get a change of the store in time.
"""

from egretrock_standins.search._run import SearchResult, Violation, run_seed
from egretrock_standins.search._schedule import (
    Event,
    EventKind,
    generate_schedule,
)

__all__ = [
    "Event",
    "EventKind",
    "SearchResult",
    "Violation",
    "generate_schedule",
    "run_seed",
]
