"""The clock of a gateway: fine steps only while requests wait for a target."""

from collections.abc import Callable
from typing import Any

#: Steps while requests wait. Rounds of probes end after 12 ms and more.
FINE_STEP_S = 0.01
#: Steps otherwise; the finest period of the fleet's parts.
COARSE_STEP_S = 0.05


class GatewayClock:
    """Calls ``advance`` again and again, more often while there is a need.

    Args:
        reactor: Twisted reactor.
        advance: Called at each step.
        needs_fine_steps: Whether requests wait for a target.
    """

    def __init__(
        self,
        reactor: Any,
        advance: Callable[[], None],
        needs_fine_steps: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._advance = advance
        self._needs_fine_steps = needs_fine_steps
        self._step: Any = None

    def start(self) -> None:
        """Starts the steps."""
        self._plan()

    def wake(self) -> None:
        """Takes the next step soon, because a request began to wait."""
        step = self._step
        if step is None or not step.active():
            return
        if step.getTime() - self._reactor.seconds() > FINE_STEP_S:
            step.reset(FINE_STEP_S)

    def stop(self) -> None:
        """Ends the steps."""
        if self._step is not None and self._step.active():
            self._step.cancel()
        self._step = None

    def _plan(self) -> None:
        step_s = FINE_STEP_S if self._needs_fine_steps() else COARSE_STEP_S
        self._step = self._reactor.callLater(step_s, self._run)

    def _run(self) -> None:
        # Planned first, so that an error in a part does not end the steps,
        # and ``advance`` may stop the clock.
        self._plan()
        self._advance()
        if self._step is not None and self._needs_fine_steps():
            self.wake()
