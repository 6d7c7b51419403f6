import json
import random

from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.directory import (
    DIRECTORY_MESSAGES,
    Change,
    Difference,
    Directory,
    Edit,
    Position,
    Update,
    UpdateRequest,
)
from egretrock.coordination.directory._changes import (
    EditError,
    apply_edits,
    find_edits,
)
from egretrock.coordination.directory._messages import pack
from egretrock.coordination.gossip import MemberRecord, MemberState
from egretrock.state.ids import Incarnation, NodeId
from egretrock_node.protocol.peers import Codec
from egretrock_standins.virtual import DiscoveredFleet

KEY = "configuration"
OWN, OTHER = NodeId("10.0.0.1:7000"), NodeId("10.0.0.2:7000")


def make_route(rng):
    return {
        "name": f"r-{rng.getrandbits(40):010x}",
        "prefix": f"/{rng.getrandbits(32):08x}/",
        "kind": "safe",
        "service": "one",
        "timeout_ms": 1500,
        "priority": 2,
        "public": False,
    }


@given("{count:d} nodes with a document of {route_count:d} routes")
def step_document(context, count, route_count):
    fleet = context.fleet = DiscoveredFleet(3, count)
    rng = context.rng = random.Random(1)
    context.routes = [make_route(rng) for _ in range(route_count)]
    context.keys = [f"{rng.getrandbits(80):020x}" for _ in range(120)]
    write_document(context)
    fleet.start_all()
    fleet.run_for(4.0)


def write_document(context):
    document = {"routes": context.routes, "keys": context.keys}
    context.document = json.dumps(document).encode()
    context.fleet.store.put(KEY, context.document)


@when(
    "a route is added and a key removed, {count:d} times, {gap_s:g} seconds"
    " apart"
)
def step_change_parts(context, count, gap_s):
    fleet = context.fleet
    codec = Codec(Peer(OWN, Incarnation(2**62)), DIRECTORY_MESSAGES)
    context.sent_bytes = 0

    def count_bytes(sender, message):
        if isinstance(message.body, Update):
            datagrams = codec.encode([message.body])
            context.sent_bytes += sum(map(len, datagrams))

    fleet.network.on_send = count_bytes
    context.reads = fleet.store.read_count
    for _ in range(count):
        context.routes.insert(200, make_route(context.rng))
        context.keys.pop(5)
        write_document(context)
        fleet.run_for(gap_s)
    context.change_count = count
    context.reads = fleet.store.read_count - context.reads


@then("the updates took at most {limit:d} bytes for each node and change")
def step_few_bytes(context, limit):
    node_count = len(context.fleet.nodes)
    size = context.sent_bytes / node_count / context.change_count
    assert size <= limit, size


@then(
    "all nodes have the last document {span_s:g} seconds later, read by 2 nodes"
)
def step_all_have_it(context, span_s):
    fleet = context.fleet
    fleet.run_for(span_s)
    for node, process in fleet.nodes.items():
        assert process.directory.entries()[KEY] == context.document, node
    # Each of the two readers reads once for each change, or a little more.
    assert context.reads <= 3 * context.change_count, context.reads


@given("{count:d} random values, each made of the one before or of others")
def step_values(context, count):
    rng = random.Random(4)
    context.values = [b""]
    for _ in range(count):
        parts = [
            bytes(rng.choice(b"ab,}") for _ in range(rng.randrange(40)))
            for _ in range(rng.randrange(4))
        ]
        earlier = rng.choice(context.values)
        cut = rng.randrange(len(earlier) + 1)
        value = b"".join([earlier[:cut], *parts, earlier[cut:]])
        context.values.append(value[-300:])


@then("the edits between any two lead from one to the other")
def step_edits(context):
    rng = random.Random(5)
    for value in context.values:
        earlier = rng.choice(context.values)
        edits = find_edits(earlier, value)
        assert apply_edits(earlier, edits, 1000) == value, (earlier, value)


@then("edits that do not fit a value raise an error")
def step_bad_edits(context):
    del context
    for edit in (Edit(0, 4, b""), Edit(-1, 2, b""), Edit(2, -1, b"")):
        try:
            apply_edits(b"abc", [edit], 1000)
        except EditError:
            continue
        raise AssertionError(edit)
    try:
        apply_edits(b"abc", [Edit(0, 3, b"")] * 400, 1000)
    except EditError:
        return
    raise AssertionError("a value above the limit was made")


@given("a directory with an entry at revision {revision:d}")
def step_directory(context, revision):
    records = [
        MemberRecord(node, "a", Incarnation(1), 0, 1, MemberState.ALIVE)
        for node in (OWN, OTHER)
    ]
    directory = Directory(OWN, lambda: records, random.Random(1), 0.0)
    position = Position(0, revision)
    entries = [Change(KEY, revision, b"a" * 800 + b",b")]
    directory.on_snapshot(entries, position, 10.0, 10.0)
    context.directory, context.before = directory, directory.entries()


@when("an update has a difference to revision {revision:d} of that entry")
def step_foreign_difference(context, revision):
    directory = context.directory
    since = directory.position
    until = Position(0, since.revision + 1)
    step = Difference(KEY, until.revision, revision, (Edit(0, 3, b"x"),))
    (data,) = pack([step])
    update = Update(since, until, 0, number=1, data=data)
    sender = Peer(OTHER, Incarnation(1))
    context.age_s = directory.age_s(11.0)
    context.out = directory.on_message(sender, update, 11.0)


@then("the entry is unchanged, the missed changes are requested")
def step_requested(context):
    assert context.directory.entries() == context.before
    (request,) = context.out
    assert request.to == OTHER and isinstance(request.body, UpdateRequest)


@then("the position and the age of the entries are unchanged")
def step_position(context):
    assert context.directory.position == Position(0, 5)
    assert context.directory.age_s(11.0) == context.age_s
