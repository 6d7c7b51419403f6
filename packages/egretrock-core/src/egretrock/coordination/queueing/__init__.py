"""Bounded fair queue for the requests that wait at a node.

Example:
    >>> from egretrock.coordination.queueing import FairQueue, QueuedRequest
    >>> queue = FairQueue(rate_of=lambda _: 10.0, max_waiting_of=lambda _: 5)
    >>> queue.offer(QueuedRequest(1, "records", "acme", 9.0), 0.0).is_ok()
    True
    >>> queue.take("records", 0.0).ticket
    1
"""

from egretrock.coordination.queueing._queue import FairQueue, QueuedRequest
from egretrock.coordination.queueing._room import ServiceRoom

__all__ = ["FairQueue", "QueuedRequest", "ServiceRoom"]
