"""Slots that targets offered lately."""

import collections

#: Time for which a slot shows that another one may be as fast.
_WINDOW_S = 0.5


class RecentSlots:
    """Expected slowdown of the slots of a service in the last half second."""

    def __init__(self) -> None:
        #: Times and slowdowns; each is below those that follow it.
        self._slots: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def on_slot(self, slowdown: float, now_s: float) -> None:
        """Records a slot that was offered."""
        while self._slots and self._slots[-1][1] >= slowdown:
            self._slots.pop()
        self._slots.append((now_s, slowdown))
        self._drop_old(now_s)

    def least_slowdown(self, now_s: float) -> float:
        """Returns the least slowdown of recent slots; 1 if there were none."""
        self._drop_old(now_s)
        return self._slots[0][1] if self._slots else 1.0

    def _drop_old(self, now_s: float) -> None:
        while self._slots and now_s - self._slots[0][0] > _WINDOW_S:
            self._slots.popleft()
