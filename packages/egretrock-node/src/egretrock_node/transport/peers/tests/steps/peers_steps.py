import json
import random
import socket

from behave import given, then, when
from twisted.internet import reactor
from twisted.web import resource, server

from egretrock.coordination.base import Outbound, Peer
from egretrock.coordination.directory import MAX_AGE_S, Position, Update
from egretrock.coordination.fleet import (
    DocumentName,
    Fleet,
    FleetSettings,
    Heartbeat,
    Release,
)
from egretrock_node.protocol.peers import Codec
from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_node.tests.path_world import (
    in_reactor,
    start_reactor,
    wait_until,
)
from egretrock_node.transport.clock import boot_time_s
from egretrock_node.transport.documents import DocumentExchange
from egretrock_node.transport.peers import PeerEndpoint

TYPES = [Heartbeat, Release, Update]


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Node:
    """A ``Fleet`` with its UDP endpoint and its document exchange."""

    def __init__(self, address, incarnation):
        self.peer = Peer(address, incarnation)
        self.counters = CountingCounters()
        self.received = []
        self.received_s = []
        self.fleet = Fleet(
            FleetSettings(address),
            incarnation,
            random.Random(incarnation),
            boot_time_s(),
        )
        codec = Codec(self.peer, TYPES)
        clock_and_counters = (boot_time_s, self.counters)
        self.errors = []
        self.raises = False
        self.endpoint = PeerEndpoint(
            reactor,
            address,
            codec,
            self.on_message,
            *clock_and_counters,
            lambda *error: self.errors.append(error),
        )
        self.exchange = DocumentExchange(
            reactor,
            address,
            self.fleet,
            self.endpoint.send,
            *clock_and_counters,
        )

    def on_message(self, sender, body, now_s):
        self.received.append(body)
        self.received_s.append(now_s)
        if self.raises:
            self.raises = False
            raise RuntimeError("odd")
        messages = self.fleet.on_message(sender, body, now_s)
        self.exchange.on_tick(now_s)
        return messages

    def on_platform_document(self, revision, vms):
        now_s = boot_time_s()
        value = json.dumps({"vms": vms}).encode()
        self.endpoint.send(
            self.fleet.on_document(
                DocumentName.VMS, revision, value, now_s, now_s
            )
        )

    def count(self, name):
        return self.counters.counts.get(name, 0)


@given("two nodes")
def step_two_nodes(context):
    start_reactor()
    context.nodes = [Node(free_address(), n + 1) for n in range(2)]
    context.one, context.other = context.nodes
    context.vms = {n.peer.node: {"data_centre": "a"} for n in context.nodes}
    for node in context.nodes:
        for part in (node.endpoint, node.exchange):
            in_reactor(part.start)
            context.add_cleanup(in_reactor, part.close)


def send(context, bodies):
    receiver = context.other.peer.node
    messages = [Outbound(receiver, body) for body in bodies]
    in_reactor(context.one.endpoint.send, messages)


@when(
    "one sends {count:d} messages to the other in one iteration and then 1 more"
)
def step_send(context, count):
    send(context, [Heartbeat(n) for n in range(count)])
    wait_until(lambda: len(context.other.received) >= count)
    send(context, [Heartbeat(100)])


@when("the other raises for the first message that it receives")
def step_raises(context):
    context.other.raises = True


@when('one sends a message to "{address}" before those to the other')
def step_send_nowhere(context, address):
    def send_all():
        for node in [address] + [context.other.peer.node] * 5:
            context.one.endpoint.send([Outbound(node, Heartbeat(1))])

    in_reactor(send_all)


@then("each node has reported {count:d} exception")
def step_errors(context, count):
    for node in context.nodes:
        assert len(node.errors) == count, node.errors


@then("the other has counted {count:d} bad datagram")
def step_bad(context, count):
    assert context.other.count("peers.bad_datagrams") == count


@when("one sends a datagram with {count:d} nested lists before {field}")
def step_send_nested(context, count, field):
    raw = next(Codec(context.one.peer, TYPES).encode([Heartbeat(1)]))
    name = f'"{field}":'.encode()
    raw = raw.replace(name, name + b"[" * count)
    host, port = context.other.peer.node.split(":")
    transport = context.one.endpoint.transport
    in_reactor(transport.write, raw, (host, int(port)))


@when("one sends a message of {size:d} bytes and a small one")
def step_send_large(context, size):
    send(context, [Release(1, "a" * size), Heartbeat(1)])


@then("the other has received {count:d} messages in {datagrams:d} datagrams")
@then("the other has received {count:d} message in {datagrams:d} datagram")
def step_received(context, count, datagrams):
    wait_until(lambda: len(context.other.received) >= count)
    assert len(context.other.received) == count
    assert context.other.count("peers.datagrams_received") == datagrams


@when("a foreign host sends noise, 2000 bytes, version 2 and a forged sender")
def step_invalid_datagrams(context):
    forged = next(Codec(context.one.peer, TYPES).encode([Heartbeat(7)]))
    version = forged.replace(b"[1,1]", b"[2,1]")
    host, port = context.other.peer.node.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign_socket:
        for datagram in (b"noise", b"x" * 2000, version, forged):
            foreign_socket.sendto(datagram, (host, int(port)))


@then(
    "the other has received {count:d} messages and counted each bad"
    " datagram once"
)
def step_counted(context, count):
    wait_until(lambda: len(context.other.received) >= count)
    assert Heartbeat(7) not in context.other.received
    assert context.other.count("peers.bad_datagrams") == 2
    assert context.other.count("peers.unknown_version") == 1
    assert context.other.count("peers.wrong_sender") == 1


@given("the first serves {fault}")
def step_serves(context, fault):
    class Page(resource.Resource):
        isLeaf = True  # noqa: N815 - the name twisted.web reads

        def render_GET(self, request):  # noqa: N802
            document = context.one.fleet.document(DocumentName.VMS)
            request.setHeader(b"revision", b"2")
            request.setHeader(b"egretrock-digest", document.digest.encode())
            if fault == "no answer at all":
                return server.NOT_DONE_YET
            if fault == "status 500":
                request.setResponseCode(500)
            if fault == "3 megabytes":
                return b"a" * 3_000_000
            return document.value[:-5]

    host, port = context.one.peer.node.split(":")
    in_reactor(context.one.exchange.close)
    listening = in_reactor(
        lambda: reactor.listenTCP(
            int(port), server.Site(Page()), interface=host
        )
    )
    context.add_cleanup(in_reactor, listening.stopListening)


@when("one node reads revision {revision:d} of the VM list")
def step_read(context, revision):
    in_reactor(context.other.on_platform_document, revision - 1, context.vms)
    in_reactor(context.one.on_platform_document, revision, context.vms)


@then("the other has revision {revision:d} in force, fetched from the first")
def step_fetched(context, revision):
    fleet = context.other.fleet
    wait_until(lambda: fleet.revision(DocumentName.VMS) == revision)
    assert context.other.count("documents.fetches") == 1


@then("the other counts a failed fetch and has seen revision {revision:d}")
def step_failed(context, revision):
    other = context.other
    wait_until(lambda: other.count("documents.fetch_failures") == 1)
    assert other.fleet.seen_revision(DocumentName.VMS) == revision


@given("an endpoint whose socket the reactor has closed")
def step_closed_socket(context):
    def start_endpoint():
        address = free_address()
        peer = Peer(address, 1)
        endpoint = PeerEndpoint(
            reactor,
            address,
            Codec(peer, TYPES),
            lambda *received: [],
            boot_time_s,
            CountingCounters(),
        )
        endpoint.start()
        return endpoint

    context.endpoint = in_reactor(start_endpoint)
    in_reactor(context.endpoint.transport.stopListening)
    wait_until(lambda: context.endpoint.transport is None)


@when("the endpoint is closed with a pending message")
def step_close_pending(context):
    def close():
        message = Outbound(free_address(), Release(0, ""))
        context.endpoint.send([message])
        context.endpoint.close()

    context.error = None
    try:
        in_reactor(close)
    except Exception as error:
        context.error = error


@then("no exception is raised")
def step_no_exception(context):
    assert context.error is None, context.error


@when("one sends {count:d} updates of {size:d} bytes and then a heartbeat")
def step_send_updates(context, count, size):
    position = Position(0, 1)
    data = random.Random(39).randbytes(size)
    updates = [
        Update(position, position, 0, number=n, data=data) for n in range(count)
    ]
    send(context, [*updates, Heartbeat(1)])
    wait_until(lambda: len(context.other.received) > count)


@then("the other has received the heartbeat before the last update")
def step_check_overtaken(context):
    kinds = [type(body) for body in context.other.received]
    assert kinds.index(Heartbeat) < len(kinds) - 1


@then("the {count:d} updates arrived in order in at least {span_s:g} seconds")
def step_check_paced(context, count, span_s):
    other = context.other
    numbers = [b.number for b in other.received if isinstance(b, Update)]
    assert numbers == list(range(count)), numbers
    assert other.received_s[-1] - other.received_s[0] >= span_s
    assert not other.count("peers.send_failures")


def updates_to(node):
    return [body for body in node.received if isinstance(body, Update)]


@given("both have sent each other an update")
def step_introduce(context):
    position = Position(0, 1)
    for sender, receiver in (
        (context.one, context.other),
        (context.other, context.one),
    ):
        message = Outbound(receiver.peer.node, Update(position, position, 0))
        in_reactor(sender.endpoint.send, [message])
        wait_until(lambda receiver=receiver: updates_to(receiver))
    for node in context.nodes:
        node.received.clear()
        node.received_s.clear()


@then(
    "the ages of the last {count:d} updates grow as they arrive, to"
    " {age_s:g} second or more"
)
def step_ages(context, count, age_s):
    other = context.other
    arrived = [
        (body.age_ms / 1000, at_s)
        for body, at_s in zip(other.received, other.received_s, strict=True)
        if isinstance(body, Update)
    ]
    assert len(arrived) == count
    first_age_s, first_s = arrived[0]
    for age, at_s in arrived:
        # What the process does between both times is not part of the delay.
        assert age - first_age_s >= at_s - first_s - 0.1, (age, at_s)
    assert arrived[-1][0] >= age_s, arrived[-1]


@then("the update has the greatest age, and the next one less than a minute")
def step_unknown_age(context):
    other = context.other
    (update,) = updates_to(other)
    assert update.age_ms == MAX_AGE_S * 1000, update.age_ms
    assert other.count("peers.unknown_delays") == 1
    # The receiver has sent a probe, by which the next delay is known.
    wait_until(lambda: context.one.count("peers.datagrams_received"))
    position = Position(0, 1)
    message = Outbound(other.peer.node, Update(position, position, 0))
    in_reactor(context.one.endpoint.send, [message])
    wait_until(lambda: len(updates_to(other)) == 2)
    assert updates_to(other)[-1].age_ms < 60_000
