"""Ticker of a gateway: short periods only while requests wait for a target."""

from collections.abc import Callable
from typing import Any

#: Period while requests wait. Shorter than the 12 ms for which a round of
#: probes waits for more answers after the first (``ChoiceSettings``).
FINE_TICK_PERIOD_S = 0.01
#: Period otherwise: that of the fleet tick, the most frequent other timer.
COARSE_TICK_PERIOD_S = 0.05


class GatewayTicker:
    """Calls ``advance`` periodically, more often while requests wait.

    Args:
        reactor: Twisted reactor.
        advance: Called at each tick.
        needs_fine_ticks: Returns whether requests wait for a target.
    """

    def __init__(
        self,
        reactor: Any,
        advance: Callable[[], None],
        needs_fine_ticks: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._advance = advance
        self._needs_fine_ticks = needs_fine_ticks
        self._next_tick: Any = None

    def start(self) -> None:
        """Schedules the first tick."""
        self._schedule()

    def wake(self) -> None:
        """Brings the next tick forward, because a request began to wait."""
        next_tick = self._next_tick
        if next_tick is None or not next_tick.active():
            return
        if next_tick.getTime() - self._reactor.seconds() > FINE_TICK_PERIOD_S:
            next_tick.reset(FINE_TICK_PERIOD_S)

    def stop(self) -> None:
        """Cancels the next tick."""
        if self._next_tick is not None and self._next_tick.active():
            self._next_tick.cancel()
        self._next_tick = None

    def _schedule(self) -> None:
        period_s = (
            FINE_TICK_PERIOD_S
            if self._needs_fine_ticks()
            else COARSE_TICK_PERIOD_S
        )
        self._next_tick = self._reactor.callLater(period_s, self._tick)

    def _tick(self) -> None:
        # Schedules the next tick first, so that an error in ``advance`` does
        # not end the ticks and ``advance`` can stop the ticker.
        self._schedule()
        self._advance()
        if self._next_tick is not None and self._needs_fine_ticks():
            self.wake()
