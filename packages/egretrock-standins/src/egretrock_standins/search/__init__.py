"""Random fault schedules for the coordination parts, in virtual time.

Nodes that discover each other, read a store and divide a rate are killed,
restarted, drained, frozen and partitioned by a seeded schedule, while one
organisation sends many times its rate, or callers send many times the limit
that a target names. The bound on the rate or limit is checked over the whole
run; at the end every node must see the whole fleet again, and must
get a change of the store in time.
"""

from egretrock_standins.search._run import (
    SearchResult,
    SearchSubject,
    Violation,
    run_seed,
)
from egretrock_standins.search._schedule import (
    Event,
    EventKind,
    generate_schedule,
)

__all__ = [
    "Event",
    "EventKind",
    "SearchResult",
    "SearchSubject",
    "Violation",
    "generate_schedule",
    "run_seed",
]
