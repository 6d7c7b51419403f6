"""Random schedules of trouble for the coordination parts, in virtual time.

Nodes that find each other, read a store and divide a rate are killed,
restarted, stopped as planned, frozen and cut off by a seeded schedule, while
one organisation sends many times its rate. The bounds of the guarantees are
checked all the time, and at the end that the fleet is one again.
"""

from egretrock_standins.search._run import Broken, SearchResult, play
from egretrock_standins.search._schedule import Event, EventKind, draw_schedule

__all__ = [
    "Broken",
    "Event",
    "EventKind",
    "SearchResult",
    "draw_schedule",
    "play",
]
