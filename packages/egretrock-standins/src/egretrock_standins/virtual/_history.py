"""A virtual fleet whose guarantees are checked while it runs."""

import json
import random
from collections.abc import Iterable, Iterator
from typing import Any

from egretrock.coordination.base import PARTITION_COUNT
from egretrock.coordination.fleet import (
    DocumentName,
    Fleet,
    FleetSettings,
    FleetStatus,
)
from egretrock.state.ids import NodeId, Revision
from egretrock_standins.virtual._fleet import (
    PlatformView,
    VirtualFleet,
    VirtualProcess,
)
from egretrock_standins.virtual._network import Faults

FRESHNESS_S = FleetSettings(NodeId("127.0.0.1:1")).freshness_s
STEP_S = 0.05
#: Upper bound on the ratio of the rates of two clocks.
_CLOCK_FACTOR = 1.01
#: Time in which a fleet without faults becomes ready.
_START_S = 15.0
#: The same after faults, with killed nodes restarted.
_RECOVERY_S = 40.0


def node_id(number: int) -> NodeId:
    """Returns the id of a virtual node."""
    return NodeId(f"127.0.0.{number + 1}:7000")


def vms_json(nodes: Iterable[NodeId]) -> bytes:
    """Returns a VM list as JSON."""
    return json.dumps(
        {"vms": {n: {"data_centre": "a"} for n in nodes}}
    ).encode()


def config_json(rate_per_s: float) -> bytes:
    """Returns a configuration as JSON; organisation ``o`` has the rate."""
    names = ("data_centres", "profiles", "services", "routes", "keys")
    value: dict[str, Any] = {name: {} for name in names}
    value["organisations"] = {"o": {"rate_per_s": rate_per_s, "burst": 10}}
    return json.dumps(value).encode()


class FleetHistory:
    """Runs a virtual fleet and collects violations of its guarantees.

    It checks that a partition has at most one holder; that no revision in
    force goes back; that a configuration that a majority has seen is known,
    ``FRESHNESS_S`` plus ``exchange_s`` later, wherever requests are admitted;
    that the usable shares of fresh nodes add up to 1 at most. Frozen
    processes are included, because they may be woken at any time.

    Args:
        seed: Seed of all faults and delays.
        count: Number of nodes.
        fleet_type: ``Fleet``, or a subclass with one rule disabled.
        faults: Faults of the network after the fleet has become ready.

    Attributes:
        fleet: The virtual fleet.
        listed_nodes: Nodes of the published VM list.
        violations: Violations found, as text with the virtual time.
        exchange_s: Seconds that a revision may take to reach a node that
            reads a stale replica.
    """

    def __init__(
        self,
        seed: int,
        count: int,
        fleet_type: type[Fleet] = Fleet,
        faults: Faults | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.fleet = VirtualFleet(self.rng, Faults(), fleet_type=fleet_type)
        self.listed_nodes = [node_id(number) for number in range(count)]
        self.violations: list[str] = []
        self.exchange_s = 0.0
        self._majority_known_s: dict[Revision, float] = {}
        self._held_partitions: dict[VirtualProcess, set[int]] = {}
        self._revisions: dict[tuple[VirtualProcess, DocumentName], int] = {}
        self._added_count = 0
        self.publish_vms()
        self.publish_config()
        for name in self.listed_nodes:
            self.fleet.start(name)
        self.fleet.observers += [self.check_exclusive, self.check_revisions]

    def publish_vms(self) -> None:
        """Publishes the VM list."""
        self.fleet.publish(DocumentName.VMS, vms_json(self.listed_nodes))

    def publish_config(self) -> None:
        """Publishes a configuration with a random rate."""
        value = config_json(self.rng.randint(1, 100))
        self.fleet.publish(DocumentName.CONFIG, value)

    def wait_until_ready(self) -> None:
        """Waits until the fleet is ready, then starts the network's faults.

        Raises:
            AssertionError: If a node is not ready in time.
        """
        self.advance(_START_S)
        self._check_ready()
        self.fleet.network.faults = self.faults

    def recover(self) -> None:
        """Ends all faults and restarts killed nodes.

        Raises:
            AssertionError: If a listed node is not ready in time, or a
                partition has no holder.
        """
        self.fleet.network.faults = Faults()
        self.fleet.heal()
        for name in list(self.fleet.frozen):
            self.fleet.resume(name)
        for name in self.listed_nodes:
            self.fleet.set_view(name, PlatformView.CURRENT)
            if name not in self.fleet.processes:
                self.fleet.start(name)
        self.advance(_RECOVERY_S)
        self._check_ready()

    def _check_ready(self) -> None:
        for name in self.listed_nodes:
            if not self.status(name).ready:
                raise AssertionError(
                    f"{name} is not ready: {self.status(name)}"
                )
        held = sum(
            len(self.held_partitions(name)) for name in self.listed_nodes
        )
        if held != PARTITION_COUNT:
            raise AssertionError(f"{held} partitions have a holder")

    def advance(self, seconds: float) -> None:
        """Advances virtual time and checks at each step."""
        for _ in range(round(seconds / STEP_S)):
            self.fleet.run(STEP_S)
            self.check_freshness()
            self.check_shares()

    def status(self, name: NodeId) -> FleetStatus:
        """Returns the status of a running node."""
        process = self.fleet.processes[name]
        return process.fleet.status(process.now_s())

    def held_partitions(self, name: NodeId) -> set[int]:
        """Returns the partitions that a running node holds."""
        process = self.fleet.processes[name]
        now_s = process.now_s()
        return {
            partition
            for partition in range(PARTITION_COUNT)
            if process.fleet.holds(partition, now_s)
        }

    def fresh_processes(self) -> Iterator[tuple[VirtualProcess, float]]:
        """Yields the fresh processes with the times on their clocks."""
        for process in self.fleet.processes.values():
            now_s = process.now_s()
            if process.fleet.is_fresh(now_s):
                yield process, now_s

    def check_exclusive(self, process: VirtualProcess) -> None:
        """Checks after each event that a partition has at most one holder.

        A process can become a holder only while it handles an event, so this
        finds every second holder, however briefly it exists.
        """
        held = self.held_partitions(process.node)
        gained = held - self._held_partitions.get(process, set())
        self._held_partitions[process] = held
        if not gained:
            return
        for other in self.fleet.processes.values():
            shared = gained & self.held_partitions(other.node)
            if other is not process and shared:
                self._add_violation(
                    f"partitions {sorted(shared)[:3]} of {other.node} are "
                    f"held by {process.node} too"
                )

    def check_revisions(self, process: VirtualProcess) -> None:
        """Checks after each event that no revision has gone back."""
        for name in DocumentName:
            revision = process.fleet.revision(name)
            previous = self._revisions.get((process, name), 0)
            if revision < previous:
                self._add_violation(f"{name} {previous} became {revision}")
            self._revisions[process, name] = revision

    def check_freshness(self) -> None:
        """Checks that fresh nodes know each revision that a majority knew."""
        now_s = self.fleet.network.now_s
        seen_revisions = [
            process.fleet.seen_revision(DocumentName.CONFIG)
            for name, process in self.fleet.processes.items()
            if name in self.listed_nodes
            and process.fleet.usable_share(process.now_s()) > 0
        ]
        majority = len(self.listed_nodes) // 2 + 1
        if len(seen_revisions) >= majority:
            known = sorted(seen_revisions, reverse=True)[majority - 1]
            self._majority_known_s.setdefault(known, now_s)
        limit_s = now_s - FRESHNESS_S * _CLOCK_FACTOR - self.exchange_s
        due = [
            r
            for r, since_s in self._majority_known_s.items()
            if since_s < limit_s
        ]
        for process, _ in self.fresh_processes():
            seen = process.fleet.seen_revision(DocumentName.CONFIG)
            if seen < max(due, default=0):
                self._add_violation(
                    f"{process.node} admits by {seen}, not {max(due)}"
                )

    def check_shares(self) -> None:
        """Checks that the fresh nodes cannot spend more than the rate."""
        total = sum(
            p.fleet.usable_share(now_s) for p, now_s in self.fresh_processes()
        )
        if total > 1 + 1e-9:
            self._add_violation(f"the usable shares add up to {total:.4f}")

    def _add_violation(self, text: str) -> None:
        self.violations.append(f"{self.fleet.network.now_s:.3f} s: {text}")

    def run_action(self, action: str, first: int, second: int) -> None:
        """Runs an action by name on the listed nodes of two indexes."""
        target = self.listed_nodes[first % len(self.listed_nodes)]
        other = self.listed_nodes[second % len(self.listed_nodes)]
        getattr(self, f"_do_{action}")(target, other)

    def _do_wait(self, target: NodeId, other: NodeId) -> None:
        pass

    def _do_cut(self, target: NodeId, other: NodeId) -> None:
        if target != other:
            self.fleet.block(target, other)

    def _do_split(self, target: NodeId, other: NodeId) -> None:
        group = {n for n in self.listed_nodes if self.rng.random() < 0.5}
        self.fleet.partition(group ^ {target})

    def _do_heal(self, target: NodeId, other: NodeId) -> None:
        self.fleet.heal()

    def _do_freeze(self, target: NodeId, other: NodeId) -> None:
        self.fleet.freeze(target)

    def _do_wake(self, target: NodeId, other: NodeId) -> None:
        for frozen in list(self.fleet.frozen):
            self.fleet.resume(frozen)

    def _do_restart(self, target: NodeId, other: NodeId) -> None:
        """Restarts a node if a majority of the nodes keeps its state."""
        unestablished = {
            name
            for name in self.listed_nodes
            if name not in self.fleet.processes
            or not self.status(name).established
        }
        if len(unestablished | {target}) <= (len(self.listed_nodes) - 1) // 2:
            self.fleet.start(target)

    def _do_restart_any(self, target: NodeId, other: NodeId) -> None:
        self.fleet.start(target)

    def _do_restart_all(self, target: NodeId, other: NodeId) -> None:
        for name in self.listed_nodes:
            self.fleet.start(name)

    def _do_kill(self, target: NodeId, other: NodeId) -> None:
        self.fleet.kill(target)

    def _do_release(self, target: NodeId, other: NodeId) -> None:
        """Releases half of the partitions; the node may acquire them again."""
        process = self.fleet.processes.get(target)
        if process is None or target in self.fleet.frozen:
            return
        half = frozenset(
            partition
            for partition in range(PARTITION_COUNT)
            if self.rng.random() < 0.5
        )
        messages = process.fleet.release(process.now_s(), half)
        self.fleet.network.send(target, messages)

    def _do_platform_down(self, target: NodeId, other: NodeId) -> None:
        self.fleet.set_view(target, PlatformView.DOWN)

    def _do_platform_stale(self, target: NodeId, other: NodeId) -> None:
        self.fleet.set_view(target, PlatformView.STALE)

    def _do_platform_current(self, target: NodeId, other: NodeId) -> None:
        self.fleet.set_view(target, PlatformView.CURRENT)

    def _do_one_current(self, target: NodeId, other: NodeId) -> None:
        """Shows one node the published revisions briefly."""
        self.fleet.set_view(target, PlatformView.CURRENT)
        self.advance(0.5)
        self.fleet.set_view(target, PlatformView.STALE)

    def _do_publish(self, target: NodeId, other: NodeId) -> None:
        self.publish_config()

    def _do_add_vm(self, target: NodeId, other: NodeId) -> None:
        if len(self.listed_nodes) < 7:
            self._add_node(len(self.listed_nodes))

    def _do_remove_vm(self, target: NodeId, other: NodeId) -> None:
        if len(self.listed_nodes) > 3:
            self.listed_nodes.remove(target)
            self.publish_vms()

    def _do_replace_vm(self, target: NodeId, other: NodeId) -> None:
        index = self.listed_nodes.index(target)
        self.listed_nodes.remove(target)
        self._add_node(index)

    def _add_node(self, index: int) -> None:
        self._added_count += 1
        name = node_id(20 + self._added_count)
        self.listed_nodes.insert(index, name)
        self.publish_vms()
        self.fleet.start(name)
