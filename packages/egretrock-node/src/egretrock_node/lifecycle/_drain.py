"""State machine of a drain, without sockets or timers."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec

from egretrock_node.protocol.requests import RequestSnapshot
from egretrock_node.settings import DrainSettings


class DrainEnd(enum.Enum):
    """Why a drain stopped waiting for its open requests."""

    COMPLETE = "complete"
    DEADLINE = "deadline"
    STOPPED = "stopped"


class DrainOutcome(msgspec.Struct, frozen=True):
    """Result of a drain.

    Attributes:
        aborted_requests: Requests that were aborted; empty after a graceful
            drain.
        end: Why the drain stopped waiting for open requests.
    """

    aborted_requests: list[RequestSnapshot]
    end: DrainEnd

    @property
    def exit_code(self) -> int:
        """0 if no request was aborted, else 1."""
        return 1 if self.aborted_requests else 0


class DrainState(enum.Enum):
    """State of a drain.

    Attributes:
        SERVING: No drain has started.
        NOTICE: The node reports that it is not ready, but still accepts
            connections until the load balancer has removed it.
        FINISHING: The node accepts no connections and completes the open
            requests.
        HANDING_OVER: The node waits until other nodes have what it handed
            over.
        RELEASED: The node has released its partitions and sends its last
            messages.
        ENDED: The drain is complete.
    """

    SERVING = "serving"
    NOTICE = "notice"
    FINISHING = "finishing"
    HANDING_OVER = "handing over"
    RELEASED = "released"
    ENDED = "ended"


_STATES_WITHOUT_REQUESTS = (
    DrainState.HANDING_OVER,
    DrainState.RELEASED,
    DrainState.ENDED,
)


class DrainPort(Protocol):
    """What a drain needs of the node."""

    def stop_accepting(self) -> None:
        """Stops accepting connections."""
        ...

    def open_request_count(self) -> int:
        """Returns the number of requests and connections still open."""
        ...

    def start_handover(self) -> None:
        """Starts handing over rate shares and records to other nodes."""
        ...

    def is_handover_complete(self) -> bool:
        """Returns whether the handover is complete or abandoned."""
        ...

    def release(self) -> None:
        """Releases this node's partitions for other nodes to hold."""
        ...

    def abort_requests(self) -> list[RequestSnapshot]:
        """Aborts the requests in flight and returns them."""
        ...


#: Seconds between the release and the end, for the last messages to be sent.
LINGER_S = 0.3


class DrainController:
    """Drains a node; ``on_tick`` advances the state.

    Args:
        port: The node.
        settings: Notice period and deadline.
        on_stopped: Called once, at the end.
    """

    def __init__(
        self,
        port: DrainPort,
        settings: DrainSettings,
        on_stopped: Callable[[DrainOutcome], None],
    ) -> None:
        self._port = port
        self._settings = settings
        self._on_stopped = on_stopped
        self._drain_started_s = 0.0
        self._requested_s = 0.0
        self._state_entered_s = 0.0
        self._aborted_requests: list[RequestSnapshot] = []
        self._end = DrainEnd.COMPLETE
        self.state = DrainState.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether a drain has begun."""
        return self.state is not DrainState.SERVING

    @property
    def refuses_from_s(self) -> float:
        """Time from which a drain refuses requests that it may abort."""
        return self._requested_s + self._settings.notice_s

    @property
    def ends_s(self) -> float:
        """Earliest time at which open requests may be aborted.

        A process that notices its stop late may be killed before its own
        deadline.
        """
        return self._requested_s + self._settings.deadline_s

    def start(self, now_s: float, requested_s: float) -> None:
        """Starts the drain; a second call has no effect.

        Args:
            now_s: Time.
            requested_s: Earliest time at which the stop may have been
                requested.
        """
        if self.state is DrainState.SERVING:
            self._drain_started_s = now_s
            self._requested_s = requested_s
            self._enter(DrainState.NOTICE, now_s)

    def stop_now(self, now_s: float) -> None:
        """Aborts the open requests and starts the handover immediately."""
        if self.state in _STATES_WITHOUT_REQUESTS:
            return
        self._abort(DrainEnd.STOPPED, now_s)

    def on_tick(self, now_s: float) -> None:
        """Enters the next state when it is due."""
        in_state_s = now_s - self._state_entered_s
        if self.state is DrainState.NOTICE:
            if in_state_s >= self._settings.notice_s:
                self._port.stop_accepting()
                self._enter(DrainState.FINISHING, now_s)
        elif self.state is DrainState.FINISHING:
            if self._port.open_request_count() == 0:
                self._hand_over(now_s)
            elif now_s - self._drain_started_s >= self._settings.deadline_s:
                self._abort(DrainEnd.DEADLINE, now_s)
        elif self.state is DrainState.HANDING_OVER:
            if self._port.is_handover_complete():
                self._port.release()
                self._enter(DrainState.RELEASED, now_s)
        elif self.state is DrainState.RELEASED and in_state_s >= LINGER_S:
            self._enter(DrainState.ENDED, now_s)
            self._on_stopped(DrainOutcome(self._aborted_requests, self._end))

    def _abort(self, end: DrainEnd, now_s: float) -> None:
        self._end = end
        try:
            self._aborted_requests = self._port.abort_requests()
        finally:
            # Otherwise an error at each tick would keep the drain from ending.
            self._hand_over(now_s)

    def _hand_over(self, now_s: float) -> None:
        self._port.start_handover()
        self._enter(DrainState.HANDING_OVER, now_s)

    def _enter(self, state: DrainState, now_s: float) -> None:
        self.state = state
        self._state_entered_s = now_s
