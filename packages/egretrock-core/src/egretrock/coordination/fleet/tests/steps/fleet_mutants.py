"""Fleets with one rule switched off, to show that the checks find it."""

from egretrock.coordination.fleet import Fleet
from egretrock.coordination.fleet._bootstrap import Bootstrap
from egretrock.coordination.fleet._documents import DocumentStore
from egretrock.coordination.fleet._freshness import Freshness
from egretrock.coordination.fleet._lists import ListHistory
from egretrock.coordination.fleet._partitions import PartitionHolder, Voter
from egretrock.coordination.fleet._peers import QuestionLog


class ReceiptHolder(PartitionHolder):
    def _expires_s(self, sent_s, now_s):
        return now_s + self._vote_s


class VotesFromReceipt(Fleet):
    holder_type = ReceiptHolder


class HastyBootstrap(Bootstrap):
    def can_vote(self, now_s):
        return self.is_established


class VotesRightAfterStart(Fleet):
    bootstrap_type = HastyBootstrap


class ExactVoter(Voter):
    def __init__(self, promise_s):
        super().__init__(promise_s / 1.01)


class PromisesWithoutClockFactor(Fleet):
    voter_type = ExactVoter


class ForgetfulVoter(Voter):
    def free(self, by, last_question, partitions):
        super().free(by, float("inf"), partitions)


class ReleasesLaterVotes(Fleet):
    voter_type = ForgetfulVoter


class CountedQuestions(QuestionLog):
    def __init__(self, rng, keep_s):
        super().__init__(rng, keep_s)
        self.latest = 0


class QuestionsNumberedFromZero(Fleet):
    questions_type = CountedQuestions


class FickleStore(DocumentStore):
    def offer(self, revision, value, now_s):
        if value is not None and revision != self.seen:
            self.latest = None
        return super().offer(revision, value, now_s)


class AcceptsOlderRevisions(Fleet):
    store_type = FickleStore

    def seen_revision(self, document):
        return 0


class AnswersFromReceipt(Fleet):
    def _take_answer(self, body, state, sent_s, now_s):
        super()._take_answer(body, state, now_s, now_s)


class ReadsFromReceipt(Fleet):
    def on_document(self, document, revision, value, sent_s, now_s):
        return super().on_document(document, revision, value, now_s, now_s)


class SelfCountingBootstrap(Bootstrap):
    def _needed(self, count):
        return count // 2


class NewProcessCountsItself(Fleet):
    bootstrap_type = SelfCountingBootstrap


class TimedLists(ListHistory):
    def report(self, node, revision, now_s):
        for replaced in self._replaced:
            replaced.adopted_s = replaced.adopted_s or now_s


class ChangeEndsByTimeAlone(Fleet):
    lists_type = TimedLists


class SuddenLists(ListHistory):
    def adopt(self, vm_list, revision, keep_replaced, now_s):
        super().adopt(vm_list, revision, False, now_s)


class ListsChangeAtOnce(Fleet):
    lists_type = SuddenLists


class PlatformOverrulesPeers(Fleet):
    def _confirm_by_platform(self, document, offer, sent_s):
        self._freshness.confirm_by_platform(document, sent_s)


class DeafFreshness(Freshness):
    def confirm_by_peer(self, node, body, seen, sent_s):
        pass


class NoConfirmationByPeers(Fleet):
    freshness_type = DeafFreshness


class TrustingFreshness(Freshness):
    def confirmed_s(self, name):
        return max(self._agreed_s[name].values())


class OneAnswerConfirms(Fleet):
    freshness_type = TrustingFreshness


class EstablishedBootstrap(Bootstrap):
    def evaluate(self, known, peers, now_s):
        if self.established_s is None:
            self.established_s = self.exclusive_from_s = now_s
            return True
        return False


class NewProcessCountsAtOnce(Fleet):
    bootstrap_type = EstablishedBootstrap


class UnsettledBootstrap(Bootstrap):
    def settle(self, known, peers, now_s):
        if self.is_established:
            self.exclusive_from_s = min(now_s, self.exclusive_from_s)


class NewProcessUsesItsShareAtOnce(Fleet):
    bootstrap_type = UnsettledBootstrap
