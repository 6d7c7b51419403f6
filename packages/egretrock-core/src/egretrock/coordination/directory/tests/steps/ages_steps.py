import functools

from behave import then, when

KEY = "configuration"
CHECK_S = 0.02
# The delay that all messages have in common is not part of an age.
UNSEEN_DELAY_S = 0.01
IN_FORCE_S = 2.0


class AgeWatch:
    """Compares the ages that nodes state with what the store held.

    Attributes:
        understated: Node, time and the age that it stated, for entries that
            lacked a change older than this age.
        late: Node, time and the position that it lacked for too long.
        rested: Nodes that were frozen, which may be late.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.understated = []
        self.late = []
        self.rested = set()
        self._changes = [(0.0, fleet.store.position)]

    def note_change(self):
        change = (self.fleet.network.now_s, self.fleet.store.position)
        self._changes.append(change)

    def write(self, size_bytes):
        self.fleet.store.put(KEY, self.fleet.rng.randbytes(size_bytes))
        self.note_change()

    def check(self):
        now_s = self.fleet.network.now_s
        due = self._position_at(now_s - IN_FORCE_S)
        for node, process in self.fleet.nodes.items():
            if self.fleet.network.is_frozen(node):
                continue
            directory = process.directory
            age_s = directory.age_s(now_s)
            known = self._position_at(now_s - age_s - UNSEEN_DELAY_S)
            if directory.position < known:
                self.understated.append((node, now_s, age_s))
            if directory.position < due and node not in self.rested:
                self.late.append((node, now_s, due))

    def _position_at(self, at_s):
        return max(
            position for time_s, position in self._changes if time_s <= at_s
        )


def freeze(fleet, watch):
    count = len(fleet.node_ids) // 8
    watch.rested = set(fleet.rng.sample(fleet.node_ids, count))
    for node in watch.rested:
        fleet.network.freeze(node)


def wake(fleet, watch):
    for node in watch.rested:
        fleet.network.resume(node)


def restore(fleet, watch):
    fleet.store.restore(watch.copy)
    watch.note_change()


DISRUPTIONS = {
    "an eighth of the nodes is frozen": freeze,
    "the frozen nodes wake": wake,
    "the store returns to an older copy": restore,
}


@when(
    "an entry of {size:d} bytes changes every {gap_s:g} seconds for"
    " {span_s:g} seconds, and meanwhile"
)
def step_storm(context, size, gap_s, span_s):
    fleet = context.fleet
    watch = context.age_watch = AgeWatch(fleet)
    watch.copy = fleet.store.copy()
    start_s = fleet.network.now_s
    for row in context.table:
        disrupt = functools.partial(
            DISRUPTIONS[row["disruption"]], fleet, watch
        )
        fleet.network.call_at(start_s + float(row["at_s"]), disrupt)
    for number in range(int(span_s / gap_s)):
        fleet.network.call_at(start_s + number * gap_s, watch.write, size)
    while fleet.network.now_s < start_s + span_s + 3.0:
        fleet.run_for(CHECK_S)
        watch.check()


@then("no node took its entries for newer than they were")
def step_true_ages(context):
    understated = context.age_watch.understated
    assert not understated, (len(understated), understated[:5])


@then(
    "each change was in force within {limit_s:g} seconds at nodes that were"
    " not frozen"
)
def step_in_force(context, limit_s):
    assert limit_s == IN_FORCE_S
    late = context.age_watch.late
    assert not late, (len(late), late[:5])
