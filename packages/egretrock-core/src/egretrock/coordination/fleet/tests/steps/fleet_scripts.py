"""Short sequences of events, each to detect a fault that is rare at random.

Each function returns a description of the violation, or None.
"""

import random

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet import (
    DocumentName,
    FleetSettings,
    Heartbeat,
    Release,
    format_partitions,
)
from egretrock_standins.virtual import (
    FleetHistory,
    PlatformView,
    config_json,
    node_id,
    vms_json,
)

ALL_PARTITIONS = format_partitions(range(64))


class Script:
    """One fleet part; the script simulates its peers and the platform."""

    def __init__(self, fleet_type, count, incarnation=1):
        nodes = [node_id(n) for n in range(count)]
        self.fleet = fleet_type(
            FleetSettings(nodes[0]), incarnation, random.Random(incarnation), 0
        )
        self.questions = {}
        self.read(0.0, 0.0, vms_json(nodes))
        self.read(0.0, 0.0, config_json(5), DocumentName.CONFIG)

    def read(self, sent_s, now_s, value=None, name=DocumentName.VMS):
        self.fleet.on_document(name, 1, value, sent_s, now_s)

    def tick(self, now_s):
        """Returns the heartbeats that are due, by receiver."""
        messages = self.fleet.on_tick(now_s)
        return {message.to: message.body for message in messages}

    def receive_heartbeat(self, sender, now_s, answered=0, **fields):
        question = self.questions.get(sender, 100) + 1
        self.questions[sender] = question
        fields = {"config_seen": 1, "vms_in_force": 1} | fields
        body = Heartbeat(question, answered, **fields)
        self.fleet.on_message(Peer(node_id(sender), 50), body, now_s)

    def exchange_heartbeats(self, until_s, peers, start_s=1.0):
        """Exchanges heartbeats with established peers every 1.2 seconds."""
        now_s, sent = start_s, {}
        while now_s <= until_s:
            sent = self.tick(now_s) or sent
            for peer in peers:
                body = sent[node_id(peer)]
                self.receive_heartbeat(peer, now_s + 0.1, body.question)
            now_s += 1.2
        return sent


def restarted_voter(fleet_type):
    script = Script(fleet_type, 3)
    for now_s in (1.0, 2.2, 3.4):
        sent = script.tick(now_s)
        if any(body.votes for body in sent.values()):
            return f"a voter voted {now_s} s after its start"
        for peer in (1, 2):
            script.receive_heartbeat(
                peer, now_s + 0.1, sent[node_id(peer)].question
            )
    return None


def clock_factor(fleet_type):
    script = Script(fleet_type, 3)
    script.exchange_heartbeats(8.3, (1, 2))
    sent = script.tick(9.4)
    voted_partitions = set(sent[node_id(1)].votes)
    for now_s in (11.8, 12.91):
        script.receive_heartbeat(2, now_s)
        sent = script.tick(now_s)
        if set(sent[node_id(2)].votes) & voted_partitions:
            return f"a vote of 9.4 s went to another node at {now_s} s"
    return None if voted_partitions else "no vote was given"


def late_release(fleet_type):
    script = Script(fleet_type, 3)
    script.exchange_heartbeats(8.3, (1, 2))
    script.receive_heartbeat(1, 9.3)
    voted_partitions = set(script.tick(9.4)[node_id(1)].votes)
    late = Release(script.questions[1] - 1, ALL_PARTITIONS)
    script.fleet.on_message(Peer(node_id(1), 50), late, 9.5)
    script.receive_heartbeat(2, 11.8)
    later_votes = set(script.tick(11.8)[node_id(2)].votes)
    return (
        "a late release freed votes in use"
        if later_votes & voted_partitions
        else None
    )


def predecessor_votes(fleet_type):
    predecessor = Script(fleet_type, 3, 1)
    successor = Script(fleet_type, 3, 2)
    question = predecessor.exchange_heartbeats(12.0, (1, 2))[
        node_id(1)
    ].question
    successor.exchange_heartbeats(12.0, (1, 2))
    for peer in (1, 2):
        successor.receive_heartbeat(peer, 12.5, question, votes=ALL_PARTITIONS)
    held_count = sum(successor.fleet.holds(p, 12.5) for p in range(64))
    status_held = set(successor.fleet.status(12.5).held_partitions)
    return f"{held_count} partitions by old votes" if status_held else None


def late_read(fleet_type):
    script = Script(fleet_type, 3)
    script.exchange_heartbeats(8.0, (1, 2))
    for name in DocumentName:
        script.read(9.0, 20.0, None, name)
    return "a read of 9 s confirmed at 20 s" if is_fresh(script, 20.0) else None


def late_answer(fleet_type):
    script = Script(fleet_type, 3)
    question = script.exchange_heartbeats(8.0, (1, 2))[node_id(1)].question
    for peer in (1, 2):
        script.receive_heartbeat(peer, 20.0, question)
    return "a late answer confirmed at 20 s" if is_fresh(script, 20.0) else None


def stale_platform(fleet_type):
    """Peers have a revision that the platform's replica does not have."""
    script = Script(fleet_type, 3)
    script.exchange_heartbeats(8.0, (1, 2))
    for peer in (1, 2):
        script.receive_heartbeat(peer, 9.0, config_seen=2)
    for now_s in (10.0, 12.0, 14.0):
        for name in DocumentName:
            script.read(now_s, now_s, None, name)
    return "a stale read confirmed at 14 s" if is_fresh(script, 14.5) else None


def is_fresh(script, now_s):
    return script.fleet.is_fresh(now_s)


def forgotten_revision(fleet_type):
    """Of three nodes one lacks a revision, and one that has it restarts."""
    world = FleetHistory(5, 3, fleet_type)
    world.wait_until_ready()
    first, second, third = world.listed_nodes
    world.fleet.set_view(second, PlatformView.STALE)
    world.fleet.set_view(third, PlatformView.DOWN)
    world.fleet.partition([third])
    world.publish_config()
    world.advance(8.0)
    world.fleet.heal()
    world.fleet.partition([first])
    world.fleet.start(second)
    world.advance(12.0)
    return next(iter(world.violations), None)


def cut_off_majority(fleet_type):
    """A majority of a replaced list does not learn of the new one."""
    world = FleetHistory(6, 5, fleet_type)
    world.wait_until_ready()
    cut_off = world.listed_nodes[2:]
    for name in cut_off:
        world.fleet.set_view(name, PlatformView.DOWN)
    world.fleet.partition(cut_off)
    world.listed_nodes = [*world.listed_nodes[:2], node_id(9)]
    world.publish_vms()
    world.fleet.start(node_id(9))
    world.advance(30.0)
    return next(iter(world.violations), None)


def platform_outage(fleet_type):
    script = Script(fleet_type, 3)
    script.exchange_heartbeats(8.3, (1, 2))
    script.exchange_heartbeats(24.0, (1, 2), start_s=9.4)
    return None if is_fresh(script, 24.0) else "an outage ends freshness"


def unfetched_revision(fleet_type):
    """One of four peers has a revision that cannot be fetched from it."""
    script = Script(fleet_type, 5)
    script.exchange_heartbeats(8.3, (1, 2, 3, 4))
    for now_s in (9.4, 10.6, 11.8, 13.0, 14.2):
        sent = script.tick(now_s)
        for peer in (1, 2, 3, 4):
            script.receive_heartbeat(
                peer,
                now_s + 0.1,
                sent[node_id(peer)].question,
                config_seen=2 if peer == 1 else 1,
            )
    if is_fresh(script, 14.5):
        return "answers confirmed at 14.2 s, a revision is known from 9.5 s"
    script.exchange_heartbeats(18.0, (2, 3, 4), start_s=15.4)
    if not is_fresh(script, 18.5):
        return "the claim of a peer that is gone stops the node"
    return None
