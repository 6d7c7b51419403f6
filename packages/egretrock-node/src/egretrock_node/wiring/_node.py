"""What nodes do alike, however their parts are wired."""

import abc
from collections.abc import Callable

import logbook

from egretrock.coordination.base import Outbound, Peer, TimerService
from egretrock_node.lifecycle import Draining, MessageRouter
from egretrock_node.protocol.requests import InFlight, RequestPipeline
from egretrock_node.transport._service import Service
from egretrock_node.transport.caller import CallerServer
from egretrock_node.transport.peers import PeerEndpoint


class NodeService(Service):
    """Base of the nodes; a subclass makes the attributes.

    Attributes:
        log: Logger of the node.
        clock: Seconds of a monotonic clock that goes on while stopped.
        peer: This node and process.
        timers: Timers of the parts.
        router: Hands messages to parts.
        endpoint: Sends messages to other nodes.
        pipeline: Requests of this node.
        callers: Connections of callers.
        draining: Steps of the planned stop.
    """

    log: logbook.Logger
    clock: Callable[[], float]
    peer: Peer
    timers: TimerService
    router: MessageRouter
    endpoint: PeerEndpoint
    pipeline: RequestPipeline
    callers: CallerServer
    draining: Draining

    @abc.abstractmethod
    def start_drain(self) -> None:
        """Starts a planned stop; a second call changes nothing."""

    def send(self, messages: list[Outbound]) -> None:
        """Sends messages; those to this node are delivered at once."""
        self.endpoint.send(
            self.router.deliver_own(self.peer, messages, self.clock)
        )

    def stop_now(self) -> None:
        """Ends a planned stop at once."""
        self.draining.stop_now(self.clock())

    def stop_accepting(self) -> None:
        """Accepts no more connections; open ones end after their request."""
        self.callers.drain()

    def cut(self) -> list[InFlight]:
        """Ends what is left and returns it."""
        cut = self.pipeline.cut()
        for entry in cut:
            self.log.warning(
                "request cut off",
                extra={
                    "request_id": entry.request_id,
                    "route": entry.route,
                    "stage": entry.stage.value,
                    "run_state": entry.run_state.value,
                    "age_s": round(entry.age_s, 3),
                },
            )
        self.callers.close()
        return cut

    def _advance(self) -> None:
        self.timers.advance(self.clock())
