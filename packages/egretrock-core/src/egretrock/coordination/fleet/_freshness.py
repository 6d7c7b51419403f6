"""Confirmation of revisions, by the platform and by a majority of peers."""

from egretrock.coordination.fleet._documents import DocumentName
from egretrock.coordination.fleet._lists import NEVER_S, ListHistory
from egretrock.coordination.fleet._messages import Heartbeat, NodeFlag
from egretrock.state.ids import NodeId, Revision


class Freshness:
    """When the revisions that this node knows were last confirmed.

    A confirmation counts from the time at which the question was sent.

    Args:
        node: This node.
        lists: The VM lists whose majorities confirm.
    """

    def __init__(self, node: NodeId, lists: ListHistory) -> None:
        self._lists = lists
        self._platform_s = dict.fromkeys(DocumentName, NEVER_S)
        # This node always agrees with itself.
        self._agreed_s: dict[DocumentName, dict[NodeId, float]] = {
            name: {node: float("inf")} for name in DocumentName
        }

    def confirm_by_platform(self, name: DocumentName, sent_s: float) -> None:
        """Notes a read that showed no older revision than the known one."""
        self._platform_s[name] = max(self._platform_s[name], sent_s)

    def confirm_by_peer(
        self,
        node: NodeId,
        body: Heartbeat,
        seen: dict[DocumentName, Revision],
        sent_s: float,
    ) -> None:
        """Notes an answer to a question that was sent at ``sent_s``.

        A process that has not caught up since its start may have forgotten
        a newer revision, so its answer does not count.

        Args:
            node: The peer.
            body: Its answer.
            seen: Revisions that this node knows, of the documents that may
                be confirmed.
            sent_s: When the question was sent.
        """
        if not body.has(NodeFlag.ESTABLISHED):
            return
        vms_seen = max(body.vms_seen, body.vms_in_force)
        reported = {
            DocumentName.CONFIG: body.config_seen,
            DocumentName.VMS: vms_seen,
        }
        for name, known in seen.items():
            if reported[name] <= known:
                agreed_s = self._agreed_s[name]
                agreed_s[node] = max(agreed_s.get(node, NEVER_S), sent_s)

    def confirmed_s(self, name: DocumentName) -> float:
        """Returns the time of the latest confirmation of a document."""
        majority_s = self._lists.majority_time_s(self._agreed_s[name])
        return max(self._platform_s[name], majority_s)

    def keep(self, nodes: frozenset[NodeId]) -> None:
        """Forgets the answers of nodes that no list names any more."""
        for name, agreed_s in self._agreed_s.items():
            self._agreed_s[name] = {
                node: sent_s
                for node, sent_s in agreed_s.items()
                if node in nodes or sent_s == float("inf")
            }
