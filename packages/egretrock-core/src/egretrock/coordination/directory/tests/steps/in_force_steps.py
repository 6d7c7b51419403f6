import functools

from behave import given, then, when

from egretrock_standins.virtual import DiscoveredFleet

KEY = "configuration"
VALUE_BYTES = 4_000
CHECK_S = 0.05


class VersionWatch:
    """Records the versions of one entry at all nodes of a fleet.

    Attributes:
        late: Node, time, its version and the one that it should have had.
        returned: Node, time, its version and the newer one that it had.
    """

    def __init__(self, fleet, limit_s):
        self.fleet = fleet
        self.limit_s = limit_s
        self.late = []
        self.returned = []
        self.extent = "wholly"
        self._written_s = []
        self._had = {}
        self._fields = [fleet.rng.randbytes(20).hex() for _ in range(100)]

    def write(self):
        version = len(self._written_s)
        rng = self.fleet.rng
        if self.extent == "wholly":
            value = rng.randbytes(VALUE_BYTES)
        else:
            self._fields[rng.randrange(100)] = rng.randbytes(20).hex()
            value = ",".join(self._fields).encode()
        value = b"%d ," % version + value
        self.fleet.store.put(KEY, value)
        self._written_s.append(self.fleet.network.now_s)

    def check(self):
        now_s = self.fleet.network.now_s
        due_count = sum(now_s - at_s > self.limit_s for at_s in self._written_s)
        due_version = due_count - 1
        for node, process in self.fleet.nodes.items():
            value = process.directory.entries().get(KEY, b"-1 ")
            version = int(value.split(b" ", 1)[0])
            since_s, newest = self._had.get(process.peer, (now_s, -1))
            if version < newest:
                self.returned.append((node, now_s, version, newest))
            # A process that has just started may still have to join.
            if version < due_version and now_s - since_s > self.limit_s:
                self.late.append((node, now_s, version, due_version))
            self._had[process.peer] = since_s, max(version, newest)


def some(fleet, part):
    """Returns a part of the running nodes, by chance."""
    nodes = sorted(fleet.nodes)
    return fleet.rng.sample(nodes, round(part * len(nodes)))


def kill(fleet):
    for node in some(fleet, 1 / 6):
        fleet.kill(node)


def add(fleet):
    missing = [n for n in fleet.node_ids if n not in fleet.nodes]
    for node in missing[: len(fleet.node_ids) // 8]:
        fleet.network.call_at(
            fleet.network.now_s + fleet.rng.random(), fleet.start, node
        )


def restart(fleet):
    for node in some(fleet, 1 / 6):
        fleet.kill(node)
        fleet.network.call_at(
            fleet.network.now_s + 0.3 + fleet.rng.random(), fleet.start, node
        )


def lose_messages(fleet):
    fleet.network.faults.loss = 0.02


def cut(fleet):
    fleet.partition(set(fleet.node_ids[::3]))


def end_cut(fleet):
    fleet.network.heal()


def refuse_reads(fleet):
    fleet.store.refused_nodes = set(some(fleet, 1 / 3))


def answer_reads(fleet):
    fleet.store.refused_nodes = set()


DISRUPTIONS = {
    "a sixth of the nodes is killed": kill,
    "an eighth of the nodes is added": add,
    "2% of the messages are lost": lose_messages,
    "a third of the nodes is cut off": cut,
    "the store loses its history": lambda fleet: fleet.store.forget_history(),
    "the cut ends": end_cut,
    "a third of the nodes does not reach the store": refuse_reads,
    "a sixth of the nodes is restarted": restart,
    "the store is reached again": answer_reads,
}


@given(
    "{count:d} nodes in 6 data centres whose links take {rate:g} MB a second,"
    " seed {seed:d}"
)
def step_fleet(context, count, rate, seed):
    fleet = context.fleet = DiscoveredFleet(seed, count, data_centres=6)
    context.watch = VersionWatch(fleet, 3.0)
    context.watch.write()
    fleet.start_all()
    fleet.run_for(4.0)
    fleet.network.faults.link_bytes_per_s = rate * 1e6


@when(
    "an entry changes {extent} every {gap_s:g} seconds for {span_s:g} seconds,"
    " and meanwhile"
)
def step_disrupt(context, extent, gap_s, span_s):
    fleet, watch = context.fleet, context.watch
    watch.extent = extent
    start_s = fleet.network.now_s
    for row in context.table:
        disrupt = functools.partial(DISRUPTIONS[row["disruption"]], fleet)
        fleet.network.call_at(start_s + float(row["at_s"]), disrupt)
    for number in range(int(span_s / gap_s)):
        fleet.network.call_at(start_s + number * gap_s, watch.write)
    while fleet.network.now_s < start_s + span_s:
        fleet.run_for(CHECK_S)
        watch.check()


@then(
    "no node had a version older than {limit_s:g} seconds, or went back to an"
    " older one"
)
def step_in_time(context, limit_s):
    watch = context.watch
    assert watch.limit_s == limit_s
    assert not watch.late, (len(watch.late), watch.late[:5])
    assert not watch.returned, (len(watch.returned), watch.returned[:5])
