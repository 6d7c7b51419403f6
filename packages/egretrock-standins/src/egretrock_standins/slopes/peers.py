"""Processor time of a heartbeat between nodes: datagrams versus HTTP.

Run with ``python -m egretrock_standins.slopes.peers``. The measured side runs
in the reactor's thread, and only the processor time of this thread counts;
the other side is a plain socket in a second thread. Both transports carry the
same heartbeat in the same envelope.
"""

import random
import socket
import statistics
import threading
import time
from collections.abc import Callable
from typing import Any

import cyclopts
import msgspec
from twisted.internet import defer, error, reactor
from twisted.web import client, iweb, resource, server
from zope.interface import implementer

from egretrock.coordination.base import (
    Message,
    NullCounters,
    Outbound,
    Peer,
)
from egretrock.coordination.fleet import (
    DocumentName,
    Fleet,
    FleetSettings,
    Heartbeat,
    Release,
)
from egretrock.state.ids import Incarnation, NodeId, Revision
from egretrock_node.protocol.peers import Codec
from egretrock_node.transport.clock import boot_time_s
from egretrock_node.transport.peers import PeerEndpoint

app = cyclopts.App(name="peers")
PEER_COUNT = 18
MESSAGE_TYPES = [Heartbeat, Release]
_TIMEOUT_S = 60.0
#: Maximum datagrams in flight; more would overflow the socket buffer.
_MAX_IN_FLIGHT = 50
_HEAD_END = b"\r\n\r\n"
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Cost(msgspec.Struct, frozen=True):
    """Processor time of one kind of event, in microseconds."""

    name: str
    rounds_us: list[float]

    def __str__(self) -> str:
        """Returns one line of the table."""
        median = statistics.median(self.rounds_us)
        lowest, highest = min(self.rounds_us), max(self.rounds_us)
        return f"{self.name:46} {median:8.1f} ({lowest:.1f} to {highest:.1f})"


def heartbeat(question: int) -> Heartbeat:
    """Returns a heartbeat as a node of a fleet of 19 sends it."""
    return Heartbeat(
        question=question,
        answered=3_000_000_000,
        config_seen=Revision(1234),
        vms_in_force=Revision(123),
        held="aZ3_",
        votes="bcde",
    )


def open_udp_socket() -> socket.socket:
    """Returns a bound plain UDP socket."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(_TIMEOUT_S)
    return sock


def node_id_of(sock: socket.socket) -> NodeId:
    """Returns the address of a socket as a node id."""
    host, port = sock.getsockname()
    return NodeId(f"{host}:{port}")


def open_endpoint(
    handler: Callable[[Peer, Message, float], list[Outbound]],
) -> tuple[PeerEndpoint, NodeId]:
    """Opens an endpoint on a free port."""
    with open_udp_socket() as free:
        node = node_id_of(free)
    codec = Codec(Peer(node, Incarnation(2**63)), MESSAGE_TYPES)
    endpoint = PeerEndpoint(
        reactor, node, codec, handler, boot_time_s, NullCounters()
    )
    endpoint.start()
    return endpoint, node


def ignore_message(sender: Peer, body: Message, now_s: float) -> list[Outbound]:
    """Ignores a message."""
    del sender, body, now_s
    return []


@defer.inlineCallbacks
def measure_sent_datagrams(count: int) -> Any:
    """Measures sending as a node does: one heartbeat per peer and turn."""
    endpoint, _ = open_endpoint(ignore_message)
    sockets = [open_udp_socket() for _ in range(PEER_COUNT)]
    nodes = [node_id_of(sock) for sock in sockets]
    start_s = time.thread_time()
    for number in range(count):
        node = nodes[number % PEER_COUNT]
        endpoint.send([Outbound(node, heartbeat(number))])
        if number % PEER_COUNT == PEER_COUNT - 1:
            yield next_turn()
    yield next_turn()
    cpu_s = time.thread_time() - start_s
    for sock in sockets:
        sock.close()
    yield endpoint.close()
    return cpu_s / count * 1e6


def next_turn() -> defer.Deferred[None]:
    """Returns a deferred that fires in a later turn of the reactor."""
    done: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(0, done.callback, None)
    return done


@defer.inlineCallbacks
def measure_received_datagrams(count: int, with_fleet: bool) -> Any:
    """Measures decoding, optionally with handling by the fleet part."""
    sockets = [open_udp_socket() for _ in range(PEER_COUNT)]
    window = threading.Semaphore(_MAX_IN_FLIGHT)
    done: defer.Deferred[None] = defer.Deferred()
    remaining = count

    def handle(sender: Peer, body: Message, now_s: float) -> list[Outbound]:
        nonlocal remaining
        if with_fleet:
            fleet.on_message(sender, body, now_s)
        window.release()
        remaining -= 1
        if remaining == 0:
            done.callback(None)
        return []

    endpoint, node = open_endpoint(handle)
    fleet = make_fleet(node, [node_id_of(sock) for sock in sockets])
    host, port = node.split(":")
    codecs = [
        Codec(Peer(node_id_of(sock), Incarnation(2**63 + 1)), MESSAGE_TYPES)
        for sock in sockets
    ]

    def send_all() -> None:
        for number in range(count):
            if not window.acquire(timeout=_TIMEOUT_S):
                return
            data = next(
                codecs[number % PEER_COUNT].encode([heartbeat(number + 1)])
            )
            sockets[number % PEER_COUNT].sendto(data, (host, int(port)))

    start_s = time.thread_time()
    threading.Thread(target=send_all, daemon=True).start()
    yield done.addTimeout(_TIMEOUT_S, reactor)
    cpu_s = time.thread_time() - start_s
    for sock in sockets:
        sock.close()
    yield endpoint.close()
    return cpu_s / count * 1e6


def make_fleet(node: NodeId, peers: list[NodeId]) -> Fleet:
    """Returns a fleet part with a VM list."""
    now_s = boot_time_s()
    fleet = Fleet(FleetSettings(node), Incarnation(1), random.Random(1), now_s)
    vms = {name: {"data_centre": "a"} for name in [node, *peers]}
    value = msgspec.json.encode({"vms": vms})
    fleet.on_document(DocumentName.VMS, Revision(1), value, now_s, now_s)
    empty = ("data_centres", "profiles", "services", "routes", "keys")
    tree: dict[str, Any] = {name: {} for name in empty}
    value = msgspec.json.encode(tree | {"organisations": {}})
    fleet.on_document(DocumentName.CONFIG, Revision(1), value, now_s, now_s)
    return fleet


@implementer(iweb.IBodyProducer)
class _Body:
    """A request body that is written in one piece."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written in one piece."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written in one piece."""


@defer.inlineCallbacks
def measure_sent_requests(count: int) -> Any:
    """Measures twisted.web's client with a persistent connection."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(_TIMEOUT_S)
    threading.Thread(
        target=answer_requests, args=(listener, count), daemon=True
    ).start()
    pool = client.HTTPConnectionPool(reactor)
    agent = client.Agent(reactor, pool=pool)
    url = f"http://{node_id_of(listener)}/messages".encode()
    codec = Codec(
        Peer(NodeId("127.0.0.1:1"), Incarnation(2**63)), MESSAGE_TYPES
    )
    start_s = time.thread_time()
    for number in range(count):
        data = next(codec.encode([heartbeat(number)]))
        response = yield agent.request(b"POST", url, None, _Body(data))
        yield client.readBody(response)
    cpu_s = time.thread_time() - start_s
    yield pool.closeCachedConnections()
    listener.close()
    return cpu_s / count * 1e6


def answer_requests(listener: socket.socket, count: int) -> None:
    """Answers requests on one connection."""
    connection, _ = listener.accept()
    connection.settimeout(_TIMEOUT_S)
    with connection:
        for _ in range(count):
            read_message(connection)
            connection.sendall(_ANSWER)


def read_message(connection: socket.socket) -> None:
    """Reads one HTTP message with a content length."""
    data = b""
    while _HEAD_END not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return
        data += chunk
    head, _, body = data.partition(_HEAD_END)
    fields = head.lower().split(b"content-length: ")
    length = int(fields[1].split(b"\r\n")[0]) if len(fields) > 1 else 0
    while len(body) < length:
        body += connection.recv(65536)


class _Page(resource.Resource):
    """Decodes the body of a POST as that of a datagram."""

    isLeaf = True  # noqa: N815 - name of twisted.web

    def __init__(self, codec: Codec) -> None:
        super().__init__()
        self._codec = codec

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        self._codec.decode(request.content.read())
        return b"ok"


@defer.inlineCallbacks
def measure_received_requests(count: int) -> Any:
    """Measures twisted.web's server with a persistent connection."""
    codec = Codec(
        Peer(NodeId("127.0.0.1:1"), Incarnation(2**63)), MESSAGE_TYPES
    )
    site = server.Site(_Page(codec))
    site.log = lambda request: None
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    done: defer.Deferred[None] = defer.Deferred()

    def send_all() -> None:
        address = ("127.0.0.1", port.getHost().port)
        with socket.create_connection(address, _TIMEOUT_S) as connection:
            for number in range(count):
                data = next(codec.encode([heartbeat(number)]))
                head = (
                    "POST /messages HTTP/1.1\r\nHost: a\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                connection.sendall(head.encode() + data)
                read_message(connection)
        reactor.callFromThread(done.callback, None)

    start_s = time.thread_time()
    threading.Thread(target=send_all, daemon=True).start()
    yield done.addTimeout(_TIMEOUT_S, reactor)
    cpu_s = time.thread_time() - start_s
    yield port.stopListening()
    return cpu_s / count * 1e6


@defer.inlineCallbacks
def measure(count: int, rounds: int) -> Any:
    """Runs each measurement in turn, ``rounds`` times."""
    measurements: dict[str, Callable[[], Any]] = {
        "datagram sent": lambda: measure_sent_datagrams(count),
        "datagram received": lambda: measure_received_datagrams(count, False),
        "datagram received, handled by the fleet part": (
            lambda: measure_received_datagrams(count, True)
        ),
        "HTTP request sent, answer read": lambda: measure_sent_requests(count),
        "HTTP request received, answered": lambda: measure_received_requests(
            count
        ),
    }
    figures: dict[str, list[float]] = {name: [] for name in measurements}
    for _ in range(rounds):
        for name, run in measurements.items():
            figure = yield run()
            figures[name].append(figure)
    return [Cost(name, rounds_us) for name, rounds_us in figures.items()]


@app.default
def main(count: int = 5000, rounds: int = 5) -> int:
    """Prints the median and range of processor time in microseconds.

    Args:
        count: Heartbeats in each measurement, at most 100,000.
        rounds: Repetitions of each measurement, at most 20.
    """
    if not (0 < count <= 100_000 and 0 < rounds <= 20):
        print("allowed are 1 to 100,000 heartbeats and 1 to 20 rounds")
        return 2
    results: list[Any] = []

    def start() -> None:
        done = measure(count, rounds)
        done.addBoth(results.append)
        done.addBoth(lambda _: stop())

    def stop() -> None:
        try:
            reactor.stop()
        except error.ReactorNotRunning:
            return

    reactor.callWhenRunning(start)
    reactor.run()
    if not isinstance(results[0], list):
        print(results[0])
        return 1
    codec = Codec(
        Peer(NodeId("10.0.0.12:7000"), Incarnation(2**63)), MESSAGE_TYPES
    )
    body = heartbeat(3_000_000_000)
    size = len(next(codec.encode([body])))
    print(f"heartbeat: body {len(msgspec.json.encode(body))} bytes,")
    print(f"datagram {size} bytes; {PEER_COUNT} a second: {PEER_COUNT * size}")
    print("microseconds of processor time, median (range):")
    for cost in results[0]:
        print(cost)
    return 0


if __name__ == "__main__":
    app()
