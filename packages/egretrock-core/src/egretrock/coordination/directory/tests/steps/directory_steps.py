import collections
import random

from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.directory import (
    DIRECTORY_MESSAGES,
    Directory,
    FirstRead,
    Position,
    ReadKind,
    Update,
)
from egretrock.coordination.gossip import (
    GOSSIP_MESSAGES,
    MemberRecord,
    MemberState,
)
from egretrock.state.ids import Incarnation, NodeId
from egretrock_node.protocol.peers import Codec
from egretrock_node.tests.path_fakes import CountingCounters
from egretrock_standins.virtual import DiscoveredFleet, Faults

FIRST_KEY, NEW_KEY = "servers/first", "servers/new"
CHANGED_KEY = "servers/7"


def make_fleet(context, loss, count=19):
    fleet = DiscoveredFleet(3, count, faults=Faults(loss=loss))
    fleet.store.put(FIRST_KEY, b"1")
    for number in range(40):
        fleet.store.put(f"servers/{number}", b"x" * 150)
    fleet.start_all()
    fleet.run_for(4.0)
    context.fleet = fleet
    context.expected = {}
    context.frozen = set()


def current_readers(fleet):
    return next(iter(fleet.nodes.values())).directory.readers()


def write_entry(context, key, value):
    context.fleet.store.put(key, value)
    context.expected[key] = value


@given("19 nodes that have read the platform")
def step_fleet(context):
    make_fleet(context, 0.0)


@given("{count:d} nodes that have just started with a platform")
def step_started_fleet(context, count):
    make_fleet(context, 0.0, count)
    context.calls = context.fleet.store.read_count


@given(
    "{count:d} nodes, of which a tenth starts {lead_s:g} seconds before the"
    " others"
)
def step_loss_of_power(context, count, lead_s):
    fleet = context.fleet = DiscoveredFleet(3, count)
    fleet.first_read = FirstRead.URGENT
    for number in range(145):
        fleet.store.put(f"servers/{number}", b"x" * 150)
    # Fast machines start first; machines get power within 0.3 seconds.
    start_s = {}
    for node in fleet.node_ids:
        is_fast = fleet.rng.random() < 0.1
        start_s[node] = fleet.rng.uniform(0.0, 0.3)
        start_s[node] += 0.0 if is_fast else lead_s
        fleet.network.call_at(start_s[node], fleet.start, node)
    context.waits_s = {}
    while fleet.network.now_s < 2.0:
        fleet.run_for(0.005)
        now_s = fleet.network.now_s
        for node, process in fleet.nodes.items():
            if process.directory.revision:
                context.waits_s.setdefault(node, now_s - start_s[node])
    context.calls = fleet.store.read_count


@then(
    "{share:d} of 10 nodes have the entries at most {limit_s:g} seconds after"
    " their start"
)
def step_share_wait(context, share, limit_s):
    count = len(context.fleet.node_ids)
    in_time = sum(wait_s <= limit_s for wait_s in context.waits_s.values())
    assert 10 * in_time >= share * count, sorted(context.waits_s.values())


@then(
    "all of them have the entries at most {limit_s:g} seconds after their start"
)
def step_longest_wait(context, limit_s):
    assert len(context.waits_s) == len(context.fleet.node_ids)
    assert max(context.waits_s.values()) <= limit_s, sorted(
        context.waits_s.values()
    )


@given("a large fleet of {count:d} nodes that have read the platform")
def step_large_fleet(context, count):
    make_fleet(context, 0.0, count)


@given("19 nodes that have read the platform, with {loss:d}% loss")
def step_fleet_with_loss(context, loss):
    make_fleet(context, loss / 100)


@given(
    "{count:d} nodes in 6 data centres whose links take {rate:g} MB a second"
)
def step_slow_links(context, count, rate):
    fleet = DiscoveredFleet(3, count, data_centres=6)
    fleet.store.put(FIRST_KEY, b"1")
    fleet.start_all()
    fleet.run_for(4.0)
    fleet.network.faults.link_bytes_per_s = rate * 1e6
    fleet.run_for(0.6)
    context.fleet = fleet
    context.expected = {}
    context.frozen = set()


@when("{span_s:g} seconds pass")
def step_wait(context, span_s):
    fleet = context.fleet
    calls_before = fleet.store.read_count
    context.max_age_s = 0.0
    end_s = fleet.network.now_s + span_s
    while fleet.network.now_s < end_s:
        fleet.run_for(0.05)
        for process in fleet.nodes.values():
            age_s = process.directory.age_s(fleet.network.now_s)
            context.max_age_s = max(context.max_age_s, age_s)
    context.calls = fleet.store.read_count - calls_before


@when("the sent directory messages are counted for {span_s:g} seconds")
def step_count_messages(context, span_s):
    fleet = context.fleet
    context.sent_counts = collections.Counter()
    fleet.network.on_send = lambda sender, message: context.sent_counts.update(
        [sender] if isinstance(message.body, DIRECTORY_MESSAGES) else []
    )
    fleet.run_for(span_s)
    fleet.network.on_send = None
    context.span_s = span_s


@when("the first member of each data centre is frozen")
def step_freeze(context):
    fleet = context.fleet
    origin, other_reader = current_readers(fleet)
    first_hops = fleet.nodes[origin].directory.first_hops()
    assert len(first_hops) == 8, first_hops
    # The first hops are two members of each data centre. The other reader
    # stays, so that its own updates still reach the fleet.
    context.frozen = {node for node in first_hops[::2] if node != other_reader}
    for node in context.frozen:
        fleet.network.freeze(node)


@when("an entry is written")
def step_write(context):
    write_entry(context, NEW_KEY, b"new")


@when("an entry of {size:d} random bytes is written")
def step_write_large(context, size):
    write_entry(context, NEW_KEY, context.fleet.rng.randbytes(size))


@when("both readers are killed and an entry is written")
def step_kill_readers(context):
    chosen = current_readers(context.fleet)
    assert len(chosen) == 2
    for node in chosen:
        context.fleet.kill(node)
    write_entry(context, NEW_KEY, b"new")


@when("the platform refuses the readers and 5 other nodes")
def step_refuse(context):
    fleet = context.fleet
    chosen = current_readers(fleet)
    non_readers = [name for name in fleet.node_ids if name not in chosen]
    fleet.store.refused_nodes = {*chosen, *non_readers[:5]}


@when("{count:d} entries are written, one every {gap_s:g} seconds")
def step_write_many(context, count, gap_s):
    for number in range(count):
        write_entry(context, f"servers/new-{number}", b"%d" % number)
        context.fleet.run_for(gap_s)


@when(
    "the platform goes down, an entry is removed and the platform loses its"
    " history"
)
def step_remove_in_outage(context):
    store = context.fleet.store
    store.is_down = True
    context.fleet.run_for(1.0)
    store.remove(FIRST_KEY)
    store.forget_history()


@when("the platform is up again and {span_s:g} seconds pass")
def step_end_outage(context, span_s):
    context.fleet.store.is_down = False
    context.fleet.run_for(span_s)


@when(
    "the platform is down for {span_s:g} seconds and an entry is removed"
    " meanwhile"
)
def step_outage_with_removal(context, span_s):
    store = context.fleet.store
    store.is_down = True
    context.fleet.run_for(span_s)
    store.remove(FIRST_KEY)
    store.is_down = False


@when("the entry is written again")
def step_write_again(context):
    context.fleet.store.put(FIRST_KEY, b"1")


@when("the platform is copied, and {count:d} entries are written afterwards")
def step_copy(context, count):
    store = context.fleet.store
    context.copy = store.copy()
    for number in range(count):
        store.put(f"lost/{number}", b"lost")
    context.fleet.run_for(1.0)


@when("the platform is copied, and an entry is changed and another removed")
def step_copy_and_change(context):
    store = context.fleet.store
    context.copy = store.copy()
    store.put(CHANGED_KEY, b"leaving")
    store.remove(FIRST_KEY)
    context.fleet.run_for(1.0)


@when("the changed entry is removed")
def step_remove_changed(context):
    context.fleet.store.remove(CHANGED_KEY)


@then("no node has the changed entry")
def step_lacks_changed_entry(context):
    for name, process in context.fleet.nodes.items():
        assert CHANGED_KEY not in process.directory.entries(), name


@when("a node reads everything, and gets a position that is older")
def step_read_older(context):
    read_everything(context, 0, -1)


@when(
    "a node reads everything, and gets an earlier era's position that is older"
)
def step_read_earlier_era(context):
    read_everything(context, -1, 1)


def read_everything(context, era_step, revision_step):
    fleet = context.fleet
    directory = context.directory = next(iter(fleet.nodes.values())).directory
    now_s = fleet.network.now_s
    directory.next_read(now_s)
    directory.on_history_lost(now_s)
    assert directory.next_read(now_s).kind is ReadKind.SNAPSHOT
    known = directory.position
    older = Position(known.era + era_step, known.revision + revision_step)
    directory.on_snapshot(fleet.store.snapshot(), older, now_s, now_s)


@then("its next read is {kind}, and not at once")
def step_next_read(context, kind):
    now_s = context.fleet.network.now_s
    assert context.directory.next_read(now_s) is None
    read = context.directory.next_read(now_s + 1.0)
    is_snapshot = read is not None and read.kind is ReadKind.SNAPSHOT
    assert is_snapshot == (kind == "of all"), read


@when("the changed entry is written again with another value")
def step_change_again(context):
    write_entry(context, CHANGED_KEY, b"left")


@when("it is restored from the copy after {span_s:g} seconds")
def step_restore(context, span_s):
    store = context.fleet.store
    store.is_down = True
    context.fleet.run_for(span_s)
    store.restore(context.copy)
    store.is_down = False


@when("{count:d} entries are written, and an entry is written")
def step_write_again_and_new(context, count):
    for number in range(count):
        context.fleet.store.put(f"again/{number}", b"again")
    write_entry(context, NEW_KEY, b"new")


@when("the platform goes down")
def step_start_outage(context):
    context.fleet.store.is_down = True
    context.fleet.run_for(1.0)


@when("one node is restarted")
def step_restart(context):
    node = context.fleet.node_ids[5]
    context.fleet.kill(node)
    context.fleet.run_for(0.5)
    context.fleet.start(node)


@then("the platform was called at most {limit:d} times")
def step_store_calls(context, limit):
    assert context.calls <= limit, context.calls


@then("all nodes together read everything at most {limit:d} times")
def step_snapshot_reads(context, limit):
    read_count = context.fleet.store.snapshot_read_count
    assert read_count <= limit, read_count


@then("no node sent more than {limit:g} of them a second")
def step_messages_per_s(context, limit):
    node, count = context.sent_counts.most_common(1)[0]
    assert count / context.span_s <= limit, (node, count)


@then("no node's entries were older than {limit_s:g} second")
def step_entries_age(context, limit_s):
    assert context.max_age_s <= limit_s, context.max_age_s


@then("every node has the entry")
@then("every node has all entries")
def step_has_expected_entries(context):
    for name, process in context.fleet.nodes.items():
        if name in context.frozen:
            continue
        entries = process.directory.entries()
        missing = [
            key
            for key, value in context.expected.items()
            if entries.get(key) != value
        ]
        assert not missing, f"{name} lacks {missing}"


@then("every node has the entries of the platform")
def step_has_entries_of_platform(context):
    fleet = context.fleet
    expected = {k: value for k, (value, _) in fleet.store.entries.items()}
    for name, process in fleet.nodes.items():
        entries = process.directory.entries()
        differing = [k for k in expected if entries.get(k) != expected[k]]
        assert not differing, f"{name}: {differing[:5]}"


@then("every node has the changed entry, and none has the removed one")
def step_has_known_values(context):
    for name, process in context.fleet.nodes.items():
        entries = process.directory.entries()
        assert entries[CHANGED_KEY] == b"leaving", name
        assert FIRST_KEY not in entries, name


@then("every node still has that entry")
@then("every node has the first entry")
def step_has_first_entry(context):
    for name, process in context.fleet.nodes.items():
        assert FIRST_KEY in process.directory.entries(), name


@then("no node has the removed entry")
def step_lacks_first_entry(context):
    for name, process in context.fleet.nodes.items():
        assert FIRST_KEY not in process.directory.entries(), name


@given("{count:d} nodes in 6 data centres that start within a second")
def step_staggered_start(context, count):
    fleet = context.fleet = DiscoveredFleet(1, count, data_centres=6)
    fleet.store.put("config", fleet.rng.randbytes(9000))
    for node in fleet.node_ids:
        fleet.network.call_at(fleet.rng.random(), fleet.start, node)
    # The targets register while the nodes start.
    for number in range(161):
        entry = fleet.rng.randbytes(60) + b"x" * 90
        fleet.network.call_at(
            2 * fleet.rng.random(), fleet.store.put, f"s/{number}", entry
        )


@when("5 seconds pass while each message takes 0.4 ms to handle")
def step_run_slowly(context):
    fleet = context.fleet
    fleet.network.faults.handling_s = 0.0004
    messages = (*GOSSIP_MESSAGES, *DIRECTORY_MESSAGES)
    codec = Codec(Peer(NodeId("10.0.0.1:7000"), Incarnation(2**62)), messages)
    data_centre_of = {n: i % 6 for i, n in enumerate(fleet.node_ids)}
    context.crossing_bytes = 0

    def count(sender, message):
        if data_centre_of[sender] != data_centre_of[message.to]:
            size = sum(map(len, codec.encode([message.body])))
            context.crossing_bytes += size

    fleet.network.on_send = count
    fleet.run_for(5.0)


@then("every node lists all {count:d} nodes, and none was declared gone")
def step_complete_views(context, count):
    for name, process in context.fleet.nodes.items():
        alive_count = len(process.membership.alive_nodes())
        assert alive_count == count, f"{name} lists {alive_count}"
        changes = process.membership.take_home_changes()
        gone = [r.node for r in changes if r.state is MemberState.GONE]
        assert not gone, f"{name} declared {gone} gone"


@then("the data centres sent each other at most {limit:d} MB")
def step_crossing_bytes(context, limit):
    assert context.crossing_bytes <= limit * 1e6, context.crossing_bytes


@then("all nodes together called the platform at most {limit:d} times")
def step_calls(context, limit):
    assert context.fleet.store.read_count <= limit


@when(
    "a node gets fragments {first:d} of {first_count:d} and then {second:d} of"
    " {second_count:d}"
)
def step_fragments(context, first, first_count, second, second_count):
    fleet = context.fleet
    context.receiver = fleet.nodes[fleet.node_ids[0]]
    context.entries = dict(context.receiver.directory.entries())
    sender = fleet.nodes[fleet.node_ids[1]].peer
    position = fleet.store.position
    for index, count in ((first, first_count), (second, second_count)):
        update = Update(
            position,
            Position(position.era, position.revision + 1),
            0,
            number=99,
            fragment_index=index,
            fragment_count=count,
            data=b"x",
        )
        context.receiver.on_message(sender, update, fleet.network.now_s)


@then("it has the entries as before")
def step_entries_kept(context):
    assert context.receiver.directory.entries() == context.entries


@then("a reader has the entry from the platform and the others from a node")
def step_check_sources(context):
    fleet = context.fleet
    readers = current_readers(fleet)
    sources = {n: p.directory.source for n, p in fleet.nodes.items()}
    from_platform = {node for node, source in sources.items() if not source}
    # A reader may be told by the other one before its own read ends.
    assert from_platform and from_platform <= set(readers), sources


@when("a directory gets 1 of 2 parts of an update and 2 seconds pass")
def step_partial_update(context):
    context.counters = CountingCounters()
    own_record = MemberRecord(
        NodeId("n1"), "a", Incarnation(1), 0, 0, MemberState.ALIVE
    )
    directory = Directory(
        NodeId("n1"),
        lambda: (own_record,),
        random.Random(1),
        0.0,
        counters=context.counters,
    )
    position = Position(0, 5)
    update = Update(position, position, 0, fragment_count=2, data=b"x")
    directory.on_message(Peer(NodeId("n2"), Incarnation(1)), update, 1.0)
    directory.on_tick(3.0)


@then("it has counted 1 {name}")
def step_check_counter(context, name):
    assert context.counters.counts[name] == 1, context.counters.counts
