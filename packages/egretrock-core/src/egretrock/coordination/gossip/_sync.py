"""When a node compares its member list with that of a peer.

Anti-entropy: nodes whose lists have different digests exchange the parts that
differ (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987). It spreads the records of a starting fleet, which
are more than pings can carry, at a cost that each node bounds.
"""

import random

from egretrock.coordination.base import TokenBucket
from egretrock.coordination.gossip._settings import GossipSettings


class SyncSchedule:
    """Times the requests and answers of one node.

    Peers of the same data centre are preferred: of all nodes of a data centre
    together only ``remote_syncs_per_s`` ask in another one, and what they
    learn spreads inside.

    Args:
        settings: Times and rates.
        rng: Source of jitter.
        now_s: Time of the start.
    """

    def __init__(
        self, settings: GossipSettings, rng: random.Random, now_s: float
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._interval_s = settings.sync_s
        self._next_s = now_s
        self._next_remote_s = now_s
        self._answers = TokenBucket(now_s, settings.sync_answers_per_s)

    def take_local(self, now_s: float) -> bool:
        """Returns whether to ask a peer of the same data centre now."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s * self._jitter()
        # The interval grows until an answer brings something new.
        self._interval_s = min(2 * self._interval_s, self._settings.max_sync_s)
        return True

    def take_remote(self, local_count: int, now_s: float) -> bool:
        """Returns whether to ask a peer of another data centre now.

        Args:
            local_count: Known members of this node's data centre, itself
                included.
            now_s: Time.
        """
        if now_s < self._next_remote_s:
            return False
        period_s = local_count / self._settings.remote_syncs_per_s
        self._next_remote_s = now_s + period_s * self._jitter()
        return True

    def take_answer(self, now_s: float) -> bool:
        """Returns whether a request may be answered now."""
        rate_per_s = self._settings.sync_answers_per_s
        self._answers.refill(rate_per_s, rate_per_s, now_s)
        return self._answers.take(1.0)

    def on_news(self, now_s: float) -> None:
        """Records that an answer brought something new."""
        self._interval_s = self._settings.sync_s
        self._next_s = min(self._next_s, now_s + self._interval_s)

    def _jitter(self) -> float:
        return 0.75 + 0.5 * self._rng.random()
