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
        errors: Log of unexpected exceptions.
        clock: Returns monotonic seconds that include suspended time.
        peer: Address and incarnation of this node.
        timers: Periodic timers of the node.
        router: Routes messages to the coordination parts.
        endpoint: Sends messages to other nodes.
        pipeline: Processes the requests of this node.
        callers: Server for the connections of callers.
        draining: State machine of the drain.
    """

    log: logbook.Logger
    errors: ErrorLog
    clock: Callable[[], float]
    peer: Peer
    timers: TimerService
    router: MessageRouter
    endpoint: PeerEndpoint
    pipeline: RequestPipeline
    callers: CallerServer
    draining: DrainController

    @abc.abstractmethod
    def start_drain(self) -> None:
        """Starts the drain; a second call has no effect."""

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
        self.pipeline.refuse_beyond(self.draining.ends_s)

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
        self.timers.advance(self.clock())
