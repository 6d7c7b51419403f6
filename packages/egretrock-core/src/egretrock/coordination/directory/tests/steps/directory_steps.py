import collections

from behave import given, then, when

from egretrock.coordination.directory import DIRECTORY_MESSAGES
from egretrock_standins.virtual import DiscoveredFleet, Faults

FIRST, NEW = "servers/first", "servers/new"


def make(context, loss, count=19):
    fleet = DiscoveredFleet(3, count, faults=Faults(loss=loss))
    fleet.store.put(FIRST, b"1")
    for number in range(40):
        fleet.store.put(f"servers/{number}", b"x" * 150)
    fleet.start_all()
    fleet.run_for(4.0)
    context.fleet = fleet
    context.expected = {}
    context.frozen = set()


def readers(fleet):
    return next(iter(fleet.nodes.values())).directory.readers()


def write(context, key, value):
    context.fleet.store.put(key, value)
    context.expected[key] = value


@given("19 nodes that have read the store")
def step_given(context):
    make(context, 0.0)


@given("{count:d} nodes that have just started beside a store")
def step_given_started(context, count):
    make(context, 0.0, count)
    context.calls = context.fleet.store.calls


@given("a large fleet of {count:d} nodes that have read the store")
def step_given_large(context, count):
    make(context, 0.0, count)


@given("19 nodes that have read the store, with {loss:d}% loss")
def step_given_lossy(context, loss):
    make(context, loss / 100)


@when("{span_s:g} seconds pass")
def step_pass(context, span_s):
    fleet = context.fleet
    calls = fleet.store.calls
    context.oldest_s = 0.0
    end_s = fleet.network.now_s + span_s
    while fleet.network.now_s < end_s:
        fleet.run_for(0.05)
        for process in fleet.nodes.values():
            age_s = process.directory.age_s(fleet.network.now_s)
            context.oldest_s = max(context.oldest_s, age_s)
    context.calls = fleet.store.calls - calls


@when("the sends of news are counted for {span_s:g} seconds")
def step_count(context, span_s):
    fleet = context.fleet
    context.sends = collections.Counter()
    fleet.network.on_send = lambda sender, message: context.sends.update(
        [sender] if isinstance(message.body, DIRECTORY_MESSAGES) else []
    )
    fleet.run_for(span_s)
    fleet.network.on_send = None
    context.span_s = span_s


@when("the first member of each data centre is frozen")
def step_freeze(context):
    fleet = context.fleet
    origin, other = readers(fleet)
    told = fleet.nodes[origin].directory.told_directly()
    assert len(told) == 8, told
    # Two of each data centre; the other reader must be able to do its part.
    context.frozen = {node for node in told[::2] if node != other}
    for node in context.frozen:
        fleet.network.freeze(node)


@when("an entry is written")
def step_write(context):
    write(context, NEW, b"new")


@when("an entry of {size:d} random bytes is written")
def step_write_large(context, size):
    write(context, NEW, context.fleet.rng.randbytes(size))


@when("both readers are killed and an entry is written")
def step_kill_readers(context):
    chosen = readers(context.fleet)
    assert len(chosen) == 2
    for node in chosen:
        context.fleet.kill(node)
    write(context, NEW, b"new")


@when("the store refuses the readers and 5 others")
def step_refuse(context):
    fleet = context.fleet
    chosen = readers(fleet)
    others = [name for name in fleet.names if name not in chosen]
    fleet.store.refuses = {*chosen, *others[:5]}


@when("{count:d} entries are written, one each {gap_s:g} seconds")
def step_many(context, count, gap_s):
    for number in range(count):
        write(context, f"servers/new-{number}", b"%d" % number)
        context.fleet.run_for(gap_s)


@when("the store goes away, an entry is removed and the history is lost")
def step_removed(context):
    store = context.fleet.store
    store.is_down = True
    context.fleet.run_for(1.0)
    store.remove(FIRST)
    store.forget_history()


@when("the store comes back and {span_s:g} seconds pass")
def step_back(context, span_s):
    context.fleet.store.is_down = False
    context.fleet.run_for(span_s)


@when("the store is away for {span_s:g} seconds and an entry lapses meanwhile")
def step_lapse(context, span_s):
    store = context.fleet.store
    store.is_down = True
    context.fleet.run_for(span_s)
    store.remove(FIRST)
    store.is_down = False


@when("the entry is written again")
def step_write_again(context):
    context.fleet.store.put(FIRST, b"1")


@when("the store goes away")
def step_away(context):
    context.fleet.store.is_down = True
    context.fleet.run_for(1.0)


@when("one node is restarted")
def step_restart(context):
    node = context.fleet.names[5]
    context.fleet.kill(node)
    context.fleet.run_for(0.5)
    context.fleet.start(node)


@then("the store was called at most {limit:d} times")
def step_calls(context, limit):
    assert context.calls <= limit, context.calls


@then("all nodes together made at most {limit:d} first reads")
def step_first_reads(context, limit):
    wholes = context.fleet.store.whole_reads
    assert wholes <= limit, wholes


@then("no node sent more than {limit:g} of them a second")
def step_sends(context, limit):
    node, count = context.sends.most_common(1)[0]
    assert count / context.span_s <= limit, (node, count)


@then("no node's knowledge was older than {limit_s:g} second")
def step_age(context, limit_s):
    assert context.oldest_s <= limit_s, context.oldest_s


@then("every node has the entry")
@then("every node has all entries")
def step_has(context):
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


@then("every node has the lapsed entry")
@then("every node has the first entry")
def step_first(context):
    for name, process in context.fleet.nodes.items():
        assert FIRST in process.directory.entries(), name


@then("no node has the removed entry")
def step_no_first(context):
    for name, process in context.fleet.nodes.items():
        assert FIRST not in process.directory.entries(), name
