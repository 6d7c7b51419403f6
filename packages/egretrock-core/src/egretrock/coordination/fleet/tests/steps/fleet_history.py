"""Histories of virtual fleets under random faults, and checks of them."""

import dataclasses
import json
import random

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from egretrock.coordination.fleet import DocumentName, Fleet, FleetSettings
from egretrock_standins.virtual import Faults, PlatformView, VirtualFleet

FRESHNESS_S = FleetSettings("127.0.0.1:1").freshness_s
PARTITIONS = range(64)
STEP_S = 0.05


def node(n):
    return f"127.0.0.{n + 1}:7000"


def vms_json(nodes):
    return json.dumps({"vms": {n: {"data_centre": "a"} for n in nodes}})


def config_json(rate_per_s):
    limits = {"rate_per_s": rate_per_s, "burst": 10}
    names = ("data_centres", "profiles", "services", "routes", "keys")
    value = {"organisations": {"o": limits}} | {name: {} for name in names}
    return json.dumps(value)


class World:
    """A virtual fleet whose observers collect what must not happen."""

    def __init__(self, seed, count, fleet_type=Fleet, faults=None, **kwargs):
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.sim = VirtualFleet(
            self.rng, Faults(), fleet_type=fleet_type, **kwargs
        )
        self.listed = [node(n) for n in range(count)]
        self.violations = []
        self.majority_s = {}
        self.exchange_s = 0.0
        self._held = {}
        self._revisions = {}
        self._starts = 0
        self.publish_vms()
        self.publish_config()
        for name in self.listed:
            self.sim.start(name)
        self.sim.observers += [self.check_exclusive, self.check_revisions]

    def publish_vms(self):
        value = vms_json(self.listed).encode()
        return self.sim.publish(DocumentName.VMS, value)

    def publish_config(self):
        value = config_json(self.rng.randint(1, 100)).encode()
        return self.sim.publish(DocumentName.CONFIG, value)

    def fail(self, text):
        self.violations.append(f"{self.sim.network.now_s:.3f} s: {text}")

    def get_ready(self):
        self.advance(15.0)
        for name, process in self.sim.processes.items():
            status = process.fleet.status(process.now_s())
            assert status.ready, (name, status)
        assert sum(len(self.held(n)) for n in self.listed) == 64
        self.sim.network.faults = self.faults

    def held(self, name):
        process = self.sim.processes[name]
        now_s = process.now_s()
        return {p for p in PARTITIONS if process.fleet.holds(p, now_s)}

    def advance(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.sim.run(STEP_S)
            self.check_freshness()
            self.check_shares()

    # Checks. A holding begins only when its process acts, so a check after
    # each action of a process sees each second holder.

    def check_exclusive(self, process):
        held = self.held(process.node)
        gained = held - self._held.get(process, set())
        self._held[process] = held
        for other in self.sim.processes.values():
            if other is process or not gained:
                continue
            both = gained & self.held(other.node)
            if both:
                self.fail(
                    f"partitions {sorted(both)[:3]} of {other.node} are "
                    f"held by {process.node} too"
                )

    def check_revisions(self, process):
        for name in DocumentName:
            revision = process.fleet.revision(name)
            before = self._revisions.get((process, name), 0)
            if revision < before:
                self.fail(f"{name} {before} became {revision}")
            self._revisions[process, name] = revision

    def fresh(self):
        for process in self.sim.processes.values():
            now_s = process.now_s()
            if process.fleet.is_fresh(now_s):
                yield process, now_s

    def check_freshness(self):
        """A revision that a majority has must be known where work runs."""
        now_s = self.sim.network.now_s
        known = [
            p.fleet.seen_revision(DocumentName.CONFIG)
            for n, p in self.sim.processes.items()
            if n in self.listed and p.fleet.usable_share(p.now_s()) > 0
        ]
        enough = len(self.listed) // 2 + 1
        if len(known) >= enough:
            accepted = sorted(known, reverse=True)[enough - 1]
            self.majority_s.setdefault(accepted, now_s)
        limit_s = now_s - FRESHNESS_S * 1.01 - self.exchange_s
        due = [r for r, s in self.majority_s.items() if s < limit_s]
        for process, _ in self.fresh():
            seen = process.fleet.seen_revision(DocumentName.CONFIG)
            if seen < max(due, default=0):
                self.fail(f"{process.node} admits by {seen}, not {max(due)}")

    def check_shares(self):
        shares = [p.fleet.usable_share(now_s) for p, now_s in self.fresh()]
        if sum(shares) > 1 + 1e-9:
            self.fail(f"the usable shares add up to {sum(shares):.4f}")

    # Actions.

    def act(self, action, first, second):
        target = self.listed[first % len(self.listed)]
        other = self.listed[second % len(self.listed)]
        getattr(self, f"do_{action}")(target, other)

    def do_wait(self, target, other):
        pass

    def do_cut(self, target, other):
        if target != other:
            self.sim.cut(target, other)

    def do_split(self, target, other):
        group = {n for n in self.listed if self.rng.random() < 0.5}
        self.sim.split(group ^ {target})

    def do_heal(self, target, other):
        self.sim.heal()

    def do_freeze(self, target, other):
        self.sim.freeze(target)

    def do_wake(self, target, other):
        for frozen in list(self.sim.frozen):
            self.sim.wake(frozen)

    def do_restart(self, target, other):
        """Restarts a node if a majority keeps its memory."""
        new = [
            n
            for n in {target, *self.listed}
            if n not in self.sim.processes or not self.status(n).established
        ]
        if len({*new, target}) <= (len(self.listed) - 1) // 2:
            self.sim.start(target)

    def status(self, name):
        process = self.sim.processes[name]
        return process.fleet.status(process.now_s())

    def do_restart_all(self, target, other):
        for name in self.listed:
            self.sim.start(name)

    def do_restart_any(self, target, other):
        self.sim.start(target)

    def do_kill(self, target, other):
        self.sim.kill(target)

    def do_release(self, target, other):
        """Releases half of the partitions, which the node may regain."""
        process = self.sim.processes.get(target)
        if process is None or target in self.sim.frozen:
            return
        now_s = process.now_s()
        half = frozenset(p for p in PARTITIONS if self.rng.random() < 0.5)
        messages = process.fleet.release(now_s, half)
        self.sim.network.send(target, messages)

    def do_platform_down(self, target, other):
        self.sim.set_view(target, PlatformView.DOWN)

    def do_platform_stale(self, target, other):
        self.sim.set_view(target, PlatformView.STALE)

    def do_platform_current(self, target, other):
        self.sim.set_view(target, PlatformView.CURRENT)

    def do_one_current(self, target, other):
        """Lets one node see what is published; the others are stale."""
        self.sim.set_view(target, PlatformView.CURRENT)
        self.advance(0.5)
        self.sim.set_view(target, PlatformView.STALE)

    def do_publish(self, target, other):
        self.publish_config()

    def do_add_vm(self, target, other):
        if len(self.listed) < 7:
            self._starts += 1
            self.listed.append(node(20 + self._starts))
            self.publish_vms()
            self.sim.start(self.listed[-1])

    def do_remove_vm(self, target, other):
        if len(self.listed) > 3:
            self.listed.remove(target)
            self.publish_vms()

    def do_replace_vm(self, target, other):
        self._starts += 1
        self.listed[self.listed.index(target)] = node(20 + self._starts)
        self.publish_vms()
        self.sim.start(node(20 + self._starts))


@dataclasses.dataclass(frozen=True)
class Plan:
    seed: int
    count: int
    faults: Faults
    actions: list


NETWORK = ("wait", "cut", "split", "heal", "freeze", "wake")
PLATFORM = ("platform_down", "platform_current")


def plans(actions, longest_delay_s=1.5, losses=(0.0, 0.05, 0.3)):
    action = st.tuples(
        st.sampled_from(actions),
        st.integers(0, 6),
        st.integers(0, 6),
        st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0, 7.0]),
    )
    faults = st.builds(
        Faults,
        loss=st.sampled_from(losses),
        duplication=st.sampled_from([0.0, 0.3]),
        delay_s=st.tuples(
            st.just(0.001), st.sampled_from([0.002, 0.3, longest_delay_s])
        ),
    )
    return st.builds(
        Plan,
        seed=st.integers(0, 2**32),
        count=st.sampled_from([3, 4, 5]),
        faults=faults,
        actions=st.lists(action, min_size=6, max_size=14),
    )


def run_plan(
    plan,
    fleet_type=Fleet,
    exchange_s=0.0,
    platform=None,
    world_type=World,
):
    world = world_type(plan.seed, plan.count, fleet_type, plan.faults)
    world.get_ready()
    world.exchange_s = exchange_s
    for n in world.listed:
        if platform is not None:
            world.sim.set_view(n, platform)
    for kind, first, second, seconds in plan.actions:
        world.act(kind, first, second)
        world.advance(seconds)
        assert not world.violations, world.violations[0]
    return world


def for_all(strategy, check, examples, shrink=True):
    phases = [Phase.generate, *([Phase.shrink] if shrink else [])]

    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategy)
    def run(plan):
        check(plan)

    run()
