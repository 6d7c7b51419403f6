"""Fleets with one rule disabled, to show that the tests detect it."""

from egretrock.coordination.fleet import Fleet
from egretrock.coordination.fleet._bootstrap import Bootstrap
from egretrock.coordination.fleet._documents import DocumentStore
from egretrock.coordination.fleet._freshness import Freshness
from egretrock.coordination.fleet._lists import ListHistory
from egretrock.coordination.fleet._partitions import PartitionHolder, Voter
from egretrock.coordination.fleet._peers import QuestionLog


def fleet_with(attribute, base, **methods):
    return type("Mutant", (Fleet,), {attribute: type("Part", (base,), methods)})


def accept_older_revision(self, revision, value, now_s):
    if value is not None and revision != self.seen:
        self.latest = None
    return DocumentStore.offer(self, revision, value, now_s)


def count_from_zero(self, rng, keep_s):
    QuestionLog.__init__(self, rng, keep_s)
    self.latest = 0


def mark_adopted_at_once(self, node, revision, now_s):
    for replaced in self._replaced:
        replaced.adopted_s = replaced.adopted_s or now_s


def establish_at_once(self, known, peers, now_s):
    if self.established_s is None:
        self.established_s = self.usable_from_s = now_s
        return True
    return False


def settle_at_once(self, known, peers, now_s):
    if self.is_established:
        self.usable_from_s = min(now_s, self.usable_from_s)


VotesFromReceipt = fleet_with(
    "holder_type",
    PartitionHolder,
    _expires_s=lambda self, sent_s, now_s: now_s + self._vote_s,
)
VotesRightAfterStart = fleet_with(
    "bootstrap_type",
    Bootstrap,
    can_vote=lambda self, now_s: self.is_established,
)
PromisesWithoutClockFactor = fleet_with(
    "voter_type",
    Voter,
    __init__=lambda self, given_vote_s: Voter.__init__(
        self, given_vote_s / 1.01
    ),
)
ReleasesLaterVotes = fleet_with(
    "voter_type",
    Voter,
    free=lambda self, by, last, partitions: Voter.free(
        self, by, 2**64, partitions
    ),
)
QuestionsNumberedFromZero = fleet_with(
    "questions_type", QuestionLog, __init__=count_from_zero
)
AcceptsOlderRevisions = fleet_with(
    "store_type", DocumentStore, offer=accept_older_revision
)
AcceptsOlderRevisions.seen_revision = lambda self, document: 0
NewProcessCountsItself = fleet_with(
    "bootstrap_type", Bootstrap, _needed_answers=lambda self, count: count // 2
)
NewProcessCountsAtOnce = fleet_with(
    "bootstrap_type", Bootstrap, establish_if_caught_up=establish_at_once
)
NewProcessUsesItsShareAtOnce = fleet_with(
    "bootstrap_type", Bootstrap, set_usable_from=settle_at_once
)
ChangeEndsByTimeAlone = fleet_with(
    "lists_type", ListHistory, report=mark_adopted_at_once
)
ListsChangeAtOnce = fleet_with(
    "lists_type",
    ListHistory,
    adopt=lambda self, vms, revision, keep, now_s: ListHistory.adopt(
        self, vms, revision, False, now_s
    ),
)
NoConfirmationByPeers = fleet_with(
    "freshness_type", Freshness, confirm_by_peer=lambda *arguments: None
)
OneAnswerConfirms = fleet_with(
    "freshness_type",
    Freshness,
    confirmed_s=lambda self, name: max(self._peers_confirmed_s[name].values()),
)


class AnswersFromReceipt(Fleet):
    def _on_answer(self, body, state, sent_s, now_s):
        super()._on_answer(body, state, now_s, now_s)


class ReadsFromReceipt(Fleet):
    def on_document(self, document, revision, value, sent_s, now_s):
        return super().on_document(document, revision, value, now_s, now_s)


class PlatformOverrulesPeers(Fleet):
    def _confirm_by_platform(self, document, offer, sent_s):
        self._freshness.confirm_by_platform(document, sent_s)


ConfirmsWhileBehind = type(
    "Mutant", (Fleet,), {"_is_behind": lambda self, document, now_s: False}
)
