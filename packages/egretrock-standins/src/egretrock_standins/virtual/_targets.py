"""Targets, nodes and partition leases in virtual time."""

import dataclasses
import functools
import math
import random
from collections.abc import Callable

import msgspec

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.targets import (
    Assignment,
    AttemptOutcome,
    AttemptResult,
    Health,
    Permit,
    ProbeRequest,
    ProbeResult,
    TargetCondition,
    Targets,
    usable_target,
)
from egretrock.state.config import PublishedConfig, check_config
from egretrock.state.ids import (
    Incarnation,
    InstanceId,
    NodeId,
    ServiceId,
    TargetId,
    TicketId,
)
from egretrock.state.membership import VmList
from egretrock_standins.virtual._network import Faults, VirtualNetwork

#: One-way delay between a node and a target.
TARGET_DELAY_S = 0.001
#: Time until nodes notice that the process of a target has ended.
CLOSE_DELAY_S = 0.0015


class VirtualLeases:
    """The documents and the one holder of all partitions, seen by a node.

    A new holder starts only after the old one has stopped; a node may see a
    new document or holder late.
    """

    def __init__(self, world: "TargetSimulation", node: NodeId) -> None:
        self._world = world
        self._node = node
        self.fresh = True
        self.known_config = world.config
        self.assumed_holder: NodeId | None = None

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether the node is fresh."""
        return self.fresh

    def config(self) -> PublishedConfig | None:
        """Returns the configuration that the node knows."""
        return self.known_config

    def vms(self) -> VmList | None:
        """Returns the VM list."""
        return self._world.vms

    def alive_nodes(self, now_s: float) -> frozenset[NodeId]:
        """Returns the running nodes."""
        return frozenset(
            node
            for node, entry in self._world.nodes.items()
            if not entry.frozen
        )

    def partition_holder(self, partition: int, now_s: float) -> NodeId | None:
        """Returns the holder that this node assumes, maybe wrongly."""
        return self.assumed_holder or self._world.holder

    def holds(self, partition: int, now_s: float) -> bool:
        """Returns whether this node is the one holder."""
        return self._world.holder == self._node

    def held_since_s(self, partition: int) -> float | None:
        """Returns when this node became the holder, or None."""
        is_holder = self._world.holder == self._node
        return self._world.holder_since_s if is_holder else None


@dataclasses.dataclass
class VirtualAttempt:
    """One attempt at a target.

    Attributes:
        node: Node that sends it.
        permit: Its permit.
        sent_s: When it was sent.
        offered_s: When its request was offered to the node.
        instance: Instance that received it; before that the expected one, or
            empty for a new connection.
        running: Whether it occupies a slot.
        done: Whether it has ended.
    """

    node: "VirtualNode"
    permit: Permit
    sent_s: float
    offered_s: float
    instance: InstanceId
    running: bool = False
    done: bool = False


class VirtualTarget:
    """A target with slots, a queue and a warm-up that limits concurrency.

    Attributes:
        target: Its id.
        service_s: Mean service time.
        is_up: Whether its process runs.
        condition: Condition that it reports.
        attempts: Attempts that run or are queued.
        served_count: Number of attempts that it completed.
        peak_concurrency: Largest number of attempts at the same time.
        arrived_count: Number of attempts that reached it.
        is_failing: Whether it answers each attempt with an error.
        reported_health: Health to report in place of the true one, or None.
        instance: Id of its process.
        started_s: When its process started.
    """

    def __init__(
        self, world: "TargetSimulation", target: TargetId, service_s: float
    ) -> None:
        self.target = target
        self.service_s = service_s
        self.is_up = True
        self.condition = TargetCondition.READY
        self.attempts: list[VirtualAttempt] = []
        self.served_count = 0
        self.peak_concurrency = 0
        self.arrived_count = 0
        self.is_failing = False
        self.reported_health: Health | None = None
        self._world = world
        self._start_count = 0
        self.instance = InstanceId("")
        self.started_s = 0.0
        self.start()

    def start(self) -> None:
        """Starts a new instance."""
        self._start_count += 1
        self.instance = InstanceId(f"{self.target}-{self._start_count}")
        self.started_s = self._world.now_s
        self.is_up = True

    def stop(self) -> None:
        """Kills the process; its connections close."""
        self.is_up = False
        attempts, self.attempts = self.attempts, []
        for attempt in attempts:
            attempt.done = True
            self._world.call_later(
                CLOSE_DELAY_S,
                attempt.node.end_attempt,
                attempt,
                AttemptOutcome.LOST,
            )
        for node in list(self._world.nodes.values()):
            self._world.call_later(
                CLOSE_DELAY_S, node.on_close, self.target, self.instance
            )

    def max_concurrency(self) -> int:
        """Returns the concurrency that the warm-up allows now."""
        world = self._world
        slots = world.slots
        warmup = world.profile.warmup
        elapsed_s = world.now_s - self.started_s
        if elapsed_s >= warmup.duration_s:
            return 1_000_000
        initial = min(slots, warmup.initial_concurrency)
        progress = elapsed_s / warmup.duration_s
        return math.floor(initial + (slots - initial) * progress)

    def arrive(self, attempt: VirtualAttempt) -> None:
        """Handles the arrival of an attempt."""
        if not self.is_up or attempt.instance not in ("", self.instance):
            outcome = (
                AttemptOutcome.LOST
                if attempt.instance
                else AttemptOutcome.CONNECT_FAILED
            )
            self._world.call_later(
                TARGET_DELAY_S, attempt.node.end_attempt, attempt, outcome
            )
            return
        attempt.instance = self.instance
        self.arrived_count += 1
        if self.is_failing:
            self._world.call_later(
                TARGET_DELAY_S,
                attempt.node.end_attempt,
                attempt,
                AttemptOutcome.ERROR,
            )
            return
        self.attempts.append(attempt)
        self.peak_concurrency = max(self.peak_concurrency, len(self.attempts))
        if len(self.attempts) > self.max_concurrency():
            excess = (
                f"{self.target} had {len(self.attempts)} requests "
                f"{self._world.now_s - self.started_s:.3f} s after its start; "
                f"its warm-up allows {self.max_concurrency()}"
            )
            self._world.warmup_violations.append(excess)
        self._start_queued()

    def _start_queued(self) -> None:
        running = sum(attempt.running for attempt in self.attempts)
        for attempt in self.attempts:
            if running >= self._world.slots:
                return
            if not attempt.running:
                attempt.running = True
                running += 1
                factor = self._world.rng.lognormvariate(-0.125, 0.5)
                self._world.call_later(
                    factor * self.service_s, self._complete, attempt
                )

    def _complete(self, attempt: VirtualAttempt) -> None:
        if attempt.done:
            return
        attempt.done = True
        self.attempts.remove(attempt)
        self.served_count += 1
        self._world.call_later(
            TARGET_DELAY_S, attempt.node.end_attempt, attempt, AttemptOutcome.OK
        )
        self._start_queued()

    def health(self) -> Health:
        """Returns the health that the target reports to a probe."""
        if self.reported_health is not None:
            return self.reported_health
        return Health(
            self.instance,
            self.condition,
            uptime_s=self._world.now_s - self.started_s,
            slots=self._world.slots,
            busy=len(self.attempts),
        )


class VirtualNode:
    """A node with its ``Targets``, connections and requests.

    Attributes:
        connections: Instance behind the connection to each target.
        waiting: When each waiting request was offered, by ticket.
        in_flight: Number of attempts at targets.
    """

    def __init__(self, world: "TargetSimulation", peer: Peer) -> None:
        self.peer = peer
        self.frozen = False
        self.leases = VirtualLeases(world, peer.node)
        self.targets = Targets(
            peer, self.leases, random.Random(peer.incarnation)
        )
        self.connections: dict[TargetId, InstanceId] = {}
        self.waiting: dict[TicketId, float] = {}
        self.in_flight = 0
        self.world = world
        self._next_ticket = 0
        self._deferred_events: list[Callable[[], None]] = []

    def offer(self, deadline_s: float = 5.0) -> None:
        """Receives a request from a caller."""
        if self.frozen:
            return
        now_s = self.world.now_s
        self._request(now_s, now_s + deadline_s)

    def _request(self, offered_s: float, deadline_s: float) -> None:
        self._next_ticket += 1
        ticket = TicketId(self._next_ticket)
        self.waiting[ticket] = offered_s
        self._send(
            self.targets.client.request(
                ticket,
                self.world.service,
                "acme",
                frozenset(),
                deadline_s,
                self.world.now_s,
            )
        )

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Runs due work, including probes."""
        out = self.targets.on_tick(now_s)
        for order in self.targets.home.take_probes(now_s):
            self._probe(order)
        self._dispatch()
        return out

    def on_message(
        self, sender: Peer, body: Message, now_s: float
    ) -> list[Outbound]:
        """Handles a message from another node."""
        out = self.targets.on_message(sender, body, now_s)
        self._dispatch()
        return out

    def on_close(self, target: TargetId, instance: InstanceId) -> None:
        """Handles the close of the connections to an instance."""
        if self.frozen:
            self._deferred_events.append(
                functools.partial(self.on_close, target, instance)
            )
            return
        if self.connections.get(target) == instance:
            del self.connections[target]
            client = self.targets.client
            service, now_s = self.world.service, self.world.now_s
            self._send(client.on_connection_lost(service, target, now_s))

    def end_attempt(
        self, attempt: VirtualAttempt, outcome: AttemptOutcome
    ) -> None:
        """Handles the end of an attempt."""
        world = self.world
        if world.nodes.get(self.peer.node) is not self:
            return
        if self.frozen:
            self._deferred_events.append(
                functools.partial(self.end_attempt, attempt, outcome)
            )
            return
        self.in_flight -= 1
        latency_s = world.now_s - attempt.sent_s
        target = attempt.permit.target
        instance = None
        condition = None
        if outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR):
            instance = attempt.instance
            self.connections[target] = instance
            condition = world.targets[target].condition
            world.request_spans.append((attempt.offered_s, world.now_s))
        elif self.connections.get(target) == attempt.instance:
            del self.connections[target]
        result = AttemptResult(outcome, latency_s, instance, condition)
        finish = self.targets.client.finish
        self._send(finish(attempt.permit, result, world.now_s))

    def resume(self) -> None:
        """Wakes the node and handles the events of the freeze."""
        self.frozen = False
        events, self._deferred_events = self._deferred_events, []
        for event in events:
            event()

    def _send(self, messages: list[Outbound]) -> None:
        now_s = self.world.now_s
        messages = self.targets.route(messages, now_s)
        self.world.network.send(self.peer.node, messages)
        self._dispatch()

    def _dispatch(self) -> None:
        world = self.world
        client = self.targets.client
        for assignment in client.poll(world.now_s):
            self._dispatch_one(assignment)

    def _dispatch_one(self, assignment: Assignment) -> None:
        world = self.world
        client, permit = self.targets.client, assignment.permit
        offered_s = self.waiting.pop(assignment.ticket)
        instance = self.connections.get(permit.target)
        is_allowed = client.may_dispatch(permit, world.now_s)
        is_allowed = is_allowed and bool(permit.new_connection or instance)
        if not is_allowed:
            result = AttemptResult(AttemptOutcome.UNUSED)
            world.call_later(0.002, self._request, offered_s, offered_s + 5.0)
            self._send(client.finish(permit, result, world.now_s))
            return
        world.wait_times_s.append(world.now_s - offered_s)
        if usable_target(world.config, permit.service, permit.target) is None:
            known_target = usable_target(
                self.leases.known_config, permit.service, permit.target
            )
            if known_target is None:
                world.wrong_dispatches.append(permit.target)
        self.in_flight += 1
        attempt = VirtualAttempt(
            self, permit, world.now_s, offered_s, instance or InstanceId("")
        )
        world.call_later(
            TARGET_DELAY_S, world.targets[permit.target].arrive, attempt
        )

    def _probe(self, order: ProbeRequest) -> None:
        world = self.world
        if not self.targets.home.may_probe(order, world.now_s):
            return
        world.probe_times_s.append(world.now_s)
        target = world.targets.get(order.target)
        is_up = target is not None and target.is_up
        health = target.health() if is_up else None
        result = ProbeResult(order, health, refused=not is_up)
        world.call_later(0.003, self._end_probe, result)

    def _end_probe(self, result: ProbeResult) -> None:
        if not self.frozen:
            self.targets.home.on_probe(result, self.world.now_s)


class TargetSimulation:
    """A fleet, the targets of one service, and callers.

    Args:
        seed: Seed of the run.
        node_count: Number of nodes.
        target_count: Number of targets.
        slots: Slots of each target.
        profile: Fields of the profile, as in the configuration.
        faults: Faults of the network.
        service_s: Mean service time.
        node_type: Class of the nodes.

    Attributes:
        tree: Configuration that ``publish`` publishes.
        holder: Node that holds all partitions, or None.
        warmup_violations: Attempts above the warm-up limit of their target, as
            text.
        wrong_dispatches: Targets of attempts that neither the published
            configuration nor the node's own one allows.
        request_spans: When each answered request was offered and when it ended.
        wait_times_s: Seconds from the offer of a request to its dispatch.
    """

    service = ServiceId("records")

    def __init__(
        self,
        seed: int,
        node_count: int = 6,
        target_count: int = 4,
        slots: int = 4,
        profile: dict | None = None,
        faults: Faults | None = None,
        service_s: float = 0.02,
        node_type: type[VirtualNode] = VirtualNode,
    ) -> None:
        self._node_type = node_type
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.rng, faults or Faults())
        self.slots = slots
        self.tree = {
            "organisations": {"acme": {"rate_per_s": 1, "burst": 1}},
            "data_centres": {"east": {}, "west": {}},
            "profiles": {"p": profile or {}},
            "services": {
                self.service: {
                    "profile": "p",
                    "targets": {
                        f"t{n}": {
                            "address": f"127.0.0.1:{9000 + n}",
                            "data_centre": ("east", "west")[n % 2],
                            "slots": slots,
                        }
                        for n in range(target_count)
                    },
                }
            },
            "routes": {},
            "keys": {},
        }
        self.config = self._check_tree()
        self.profile = self.config.profiles["p"]
        self.node_ids = [
            NodeId(f"127.0.0.1:{7000 + n}") for n in range(node_count)
        ]
        vms = {
            node: {"data_centre": ("east", "west")[n % 2]}
            for n, node in enumerate(self.node_ids)
        }
        self.vms = _convert_vms(vms)
        self.holder: NodeId | None = None
        self.holder_since_s = 0.0
        self.offered = 0
        self.warmup_violations: list[str] = []
        self.wrong_dispatches: list[str] = []
        self.request_spans: list[tuple[float, float]] = []
        self.wait_times_s: list[float] = []
        self.probe_times_s: list[float] = []
        self.nodes: dict[NodeId, VirtualNode] = {}
        self.targets = {
            TargetId(name): VirtualTarget(self, TargetId(name), service_s)
            for name in self.tree["services"][self.service]["targets"]
        }
        self._incarnations = 0
        for node in self.node_ids:
            self.start_node(node)

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.network.now_s

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        """Schedules a callback after a delay."""
        self.network.call_at(self.now_s + delay_s, callback, *args)

    def start_node(self, node: NodeId) -> None:
        """Starts a process on a VM."""
        self._incarnations += 1
        peer = Peer(node, Incarnation(self._incarnations))
        entry = self._node_type(self, peer)
        self.nodes[node] = entry
        self.network.add(peer, entry.on_message, entry.on_tick, tick_s=0.01)

    def kill_node(self, node: NodeId) -> None:
        """Kills a process; its requests at targets run on, as after a crash."""
        self.nodes.pop(node, None)
        self.network.kill(node)

    def freeze(self, node: NodeId) -> None:
        """Freezes a process."""
        self.nodes[node].frozen = True
        self.network.freeze(node)

    def resume(self, node: NodeId) -> None:
        """Wakes a frozen process."""
        entry = self.nodes.get(node)
        if entry is not None and entry.frozen:
            entry.resume()
            self.network.resume(node)

    def set_holder(self, node: NodeId | None) -> None:
        """Makes a node the holder of all partitions."""
        self.holder = node
        self.holder_since_s = self.now_s

    def publish(self, lag_s: float = 0.0) -> None:
        """Publishes ``tree``; nodes see it up to ``lag_s`` later."""
        self.config = self._check_tree()
        for entry in list(self.nodes.values()):
            delay_s = lag_s * self.rng.random()
            self.call_later(
                delay_s, setattr, entry.leases, "known_config", self.config
            )

    def load(self, rate_per_s: float, until_s: float) -> None:
        """Offers requests to random nodes until a time."""
        if self.now_s >= until_s:
            return
        nodes = list(self.nodes.values())
        self.offered += 1
        if nodes:
            self.rng.choice(nodes).offer()
        delay_s = self.rng.expovariate(rate_per_s)
        self.call_later(delay_s, self.load, rate_per_s, until_s)

    def run(self, until_s: float) -> None:
        """Runs all events up to a virtual time."""
        self.network.run(until_s)

    def _check_tree(self) -> PublishedConfig:
        report = check_config(msgspec.json.encode(self.tree))
        if report.value is None:
            raise ValueError([str(finding) for finding in report.findings])
        return report.value


def _convert_vms(vms: dict) -> VmList:
    return msgspec.convert({"vms": vms}, VmList)
