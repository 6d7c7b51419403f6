"""Short courses of events, each against one fault that chance seldom meets.

Each function returns what it found wrong, or None.
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
    node,
    vms_json,
)

ALL = format_partitions(range(64))


class Script:
    """One fleet part whose peers and platform are played by the script."""

    def __init__(self, fleet_type, count, incarnation=1):
        nodes = [node(n) for n in range(count)]
        self.fleet = fleet_type(
            FleetSettings(nodes[0]), incarnation, random.Random(incarnation), 0
        )
        self.questions = {}
        self.read(0.0, 0.0, vms_json(nodes))
        self.read(0.0, 0.0, config_json(5), DocumentName.CONFIG)

    def read(self, sent_s, now_s, value=None, name=DocumentName.VMS):
        self.fleet.on_document(name, 1, value, sent_s, now_s)

    def tick(self, now_s):
        """Returns the heartbeats by receiver; later ticks are due."""
        messages = self.fleet.on_tick(now_s)
        return {message.to: message.body for message in messages}

    def hear(self, sender, now_s, answered=0, **fields):
        question = self.questions.get(sender, 100) + 1
        self.questions[sender] = question
        fields = {"config_seen": 1, "vms_in_force": 1} | fields
        body = Heartbeat(question, answered, **fields)
        self.fleet.on_message(Peer(node(sender), 50), body, now_s)

    def live(self, until_s, peers, start_s=1.0):
        """Runs heartbeats with established peers every 1.2 seconds."""
        now_s, sent = start_s, {}
        while now_s <= until_s:
            sent = self.tick(now_s) or sent
            for peer in peers:
                body = sent[node(peer)]
                self.hear(peer, now_s + 0.1, body.question)
            now_s += 1.2
        return sent


def restarted_voter(fleet_type):
    script = Script(fleet_type, 3)
    for now_s in (1.0, 2.2, 3.4):
        sent = script.tick(now_s)
        if any(body.votes for body in sent.values()):
            return f"a voter voted {now_s} s after its start"
        for peer in (1, 2):
            script.hear(peer, now_s + 0.1, sent[node(peer)].question)
    return None


def clock_factor(fleet_type):
    script = Script(fleet_type, 3)
    script.live(8.3, (1, 2))
    sent = script.tick(9.4)
    given = set(sent[node(1)].votes)
    for now_s in (11.8, 12.91):
        script.hear(2, now_s)
        sent = script.tick(now_s)
        if set(sent[node(2)].votes) & given:
            return f"a vote of 9.4 s went to another node at {now_s} s"
    return None if given else "no vote was given"


def late_release(fleet_type):
    script = Script(fleet_type, 3)
    script.live(8.3, (1, 2))
    script.hear(1, 9.3)
    given = set(script.tick(9.4)[node(1)].votes)
    late = Release(script.questions[1] - 1, ALL)
    script.fleet.on_message(Peer(node(1), 50), late, 9.5)
    script.hear(2, 11.8)
    again = set(script.tick(11.8)[node(2)].votes)
    return "a late release freed votes in use" if again & given else None


def predecessor_votes(fleet_type):
    predecessor = Script(fleet_type, 3, 1)
    successor = Script(fleet_type, 3, 2)
    question = predecessor.live(12.0, (1, 2))[node(1)].question
    successor.live(12.0, (1, 2))
    for peer in (1, 2):
        successor.hear(peer, 12.5, question, votes=ALL)
    held = sum(successor.fleet.holds(p, 12.5) for p in range(64))
    own = set(successor.fleet.status(12.5).held_partitions)
    return f"{held} partitions by old votes" if own else None


def late_read(fleet_type):
    script = Script(fleet_type, 3)
    script.live(8.0, (1, 2))
    for name in DocumentName:
        script.read(9.0, 20.0, None, name)
    return "a read of 9 s confirmed at 20 s" if fresh(script, 20.0) else None


def late_answer(fleet_type):
    script = Script(fleet_type, 3)
    question = script.live(8.0, (1, 2))[node(1)].question
    for peer in (1, 2):
        script.hear(peer, 20.0, question)
    return "a late answer confirmed at 20 s" if fresh(script, 20.0) else None


def stale_platform(fleet_type):
    """Peers have a revision that the platform's replica does not show."""
    script = Script(fleet_type, 3)
    script.live(8.0, (1, 2))
    for peer in (1, 2):
        script.hear(peer, 9.0, config_seen=2)
    for now_s in (10.0, 12.0, 14.0):
        for name in DocumentName:
            script.read(now_s, now_s, None, name)
    return "a stale read confirmed at 14 s" if fresh(script, 14.5) else None


def fresh(script, now_s):
    return script.fleet.is_fresh(now_s)


def forgotten_revision(fleet_type):
    """Of three nodes one misses a revision, and one that has it restarts."""
    world = FleetHistory(5, 3, fleet_type)
    world.get_ready()
    first, second, third = world.listed
    world.sim.set_view(second, PlatformView.STALE)
    world.sim.set_view(third, PlatformView.DOWN)
    world.sim.split([third])
    world.publish_config()
    world.advance(8.0)
    world.sim.heal()
    world.sim.split([first])
    world.sim.start(second)
    world.advance(12.0)
    return next(iter(world.violations), None)


def cut_off_majority(fleet_type):
    """A majority of a replaced list does not learn of the new one."""
    world = FleetHistory(6, 5, fleet_type)
    world.get_ready()
    cut_off = world.listed[2:]
    for name in cut_off:
        world.sim.set_view(name, PlatformView.DOWN)
    world.sim.split(cut_off)
    world.listed = [*world.listed[:2], node(9)]
    world.publish_vms()
    world.sim.start(node(9))
    world.advance(30.0)
    return next(iter(world.violations), None)


def platform_outage(fleet_type):
    script = Script(fleet_type, 3)
    script.live(8.3, (1, 2))
    script.live(24.0, (1, 2), start_s=9.4)
    return None if fresh(script, 24.0) else "an outage ends freshness"


def unfetched_revision(fleet_type):
    """One of four peers has a revision that cannot be fetched from it."""
    script = Script(fleet_type, 5)
    script.live(8.3, (1, 2, 3, 4))
    for now_s in (9.4, 10.6, 11.8, 13.0, 14.2):
        sent = script.tick(now_s)
        for peer in (1, 2, 3, 4):
            script.hear(
                peer,
                now_s + 0.1,
                sent[node(peer)].question,
                config_seen=2 if peer == 1 else 1,
            )
    if fresh(script, 14.5):
        return "answers confirmed at 14.2 s, a revision is known from 9.5 s"
    script.live(18.0, (2, 3, 4), start_s=15.4)
    if not fresh(script, 18.5):
        return "the claim of a peer that is gone stops the node"
    return None
