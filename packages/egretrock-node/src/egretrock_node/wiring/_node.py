"""Behaviour common to the daemon and the gateway."""

import abc
from collections.abc import Callable

import logbook

from egretrock.coordination.base import Outbound, Part, Peer, TimerService
from egretrock_node.lifecycle import DrainController, MessageRouter
from egretrock_node.observability import ErrorLog
from egretrock_node.protocol.requests import RequestPipeline, RequestSnapshot
from egretrock_node.transport._service import Service
from egretrock_node.transport.caller import CallerServer
from egretrock_node.transport.peers import PeerEndpoint


class NodeService(Service):
    """Base of the daemon and the gateway.

    A subclass sets the attributes and implements the rest of ``DrainPort``.

    Attributes:
        log: Logger of the node.
        drain_message: Message of the record of a drain's start.
        errors: Log of unexpected exceptions.
        clock: Returns monotonic seconds that include suspended time.
        peer: Address and incarnation of this node.
        timers: Periodic timers of the node.
        router: Routes messages to the coordination parts.
        endpoint: Sends messages to other nodes.
        pipeline: Processes the requests of this node.
        callers: Server for the connections of callers.
        draining: State machine of the drain.
        last_tick_s: Time of the latest tick of the timers.
    """

    log: logbook.Logger
    drain_message: str
    errors: ErrorLog
    clock: Callable[[], float]
    peer: Peer
    timers: TimerService
    router: MessageRouter
    endpoint: PeerEndpoint
    pipeline: RequestPipeline
    callers: CallerServer
    draining: DrainController
    last_tick_s: float

    def start_drain(self, requested_s: float | None = None) -> None:
        """Starts the drain; a second call has no effect.

        Args:
            requested_s: Earliest time at which the stop may have been
                requested; None for now.
        """
        if self.draining.is_draining:
            return
        now_s = self.clock()
        requested_s = now_s if requested_s is None else requested_s
        noticed_ms = round((now_s - requested_s) * 1000)
        self.log.info(
            self.drain_message, extra={"noticed_within_ms": noticed_ms}
        )
        self.draining.start(now_s, requested_s)
        self.pipeline.start_drain(
            self.draining.refuses_from_s, self.draining.ends_s
        )
        self._on_drain_started(now_s)

    @abc.abstractmethod
    def _on_drain_started(self, now_s: float) -> None:
        """Announces the drain to callers or other nodes."""

    def send(self, messages: list[Outbound]) -> None:
        """Sends messages; delivers those to this node itself at once."""
        self.endpoint.send(
            self.router.deliver_local(self.peer, messages, self.clock)
        )

    def stop_now(self) -> None:
        """Ends a drain before its deadline: aborts the open requests."""
        self.draining.stop_now(self.clock())

    def stop_accepting(self) -> None:
        """Stops accepting; open connections close after their request."""
        self.callers.drain()

    def open_request_count(self) -> int:
        """Returns the number of requests and connections still open.

        A connection stays open until its caller has taken the whole answer,
        or until the caller has been idle.
        """
        return self.pipeline.in_flight_count + self.callers.connection_count

    def abort_requests(self) -> list[RequestSnapshot]:
        """Aborts the requests in flight and returns them."""
        aborted_requests = self.pipeline.abort_requests()
        for request in aborted_requests:
            self.log.warning(
                "request aborted",
                extra={
                    "request_id": request.request_id,
                    "route": request.route,
                    "stage": request.stage.value,
                    "run_state": request.run_state.value,
                    "age_s": round(request.age_s, 3),
                },
            )
        self.callers.close()
        return aborted_requests

    def tick_part(self, part: Part, now_s: float) -> None:
        """Runs the actions of a part that are due and sends its messages."""
        self.send(part.on_tick(now_s))

    def _advance_timers(self) -> None:
        self.last_tick_s = self.clock()
        self.timers.advance(self.last_tick_s)
