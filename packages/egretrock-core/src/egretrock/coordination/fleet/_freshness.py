"""Confirmation of revisions by the platform or by a majority of nodes."""

from egretrock.coordination.fleet._documents import DocumentName
from egretrock.coordination.fleet._lists import NEVER_S, ListHistory
from egretrock.coordination.fleet._messages import Heartbeat, NodeFlag
from egretrock.state.ids import NodeId, Revision


class Freshness:
    """Times at which the revisions that this node has were last confirmed.

    The time of a confirmation is that at which the read or question was sent,
    not that at which its answer arrived.

    Args:
        node: This node.
        lists: The VM lists; a majority of each of them must confirm.
    """

    def __init__(self, node: NodeId, lists: ListHistory) -> None:
        self._lists = lists
        self._platform_confirmed_s = dict.fromkeys(DocumentName, NEVER_S)
        # This node always confirms its own revisions.
        self._peers_confirmed_s: dict[DocumentName, dict[NodeId, float]] = {
            name: {node: float("inf")} for name in DocumentName
        }

    def confirm_by_platform(self, name: DocumentName, sent_s: float) -> None:
        """Records a read that returned no older revision than this node has."""
        self._platform_confirmed_s[name] = max(
            self._platform_confirmed_s[name], sent_s
        )

    def confirm_by_peer(
        self,
        node: NodeId,
        body: Heartbeat,
        seen: dict[DocumentName, Revision],
        sent_s: float,
    ) -> None:
        """Records an answer to a question that was sent at ``sent_s``.

        A process that has not caught up since its start may lack a later
        revision that its previous process had, so its answer is ignored.

        Args:
            node: The peer.
            body: Its answer.
            seen: Revisions that this node has, of the documents that may be
                confirmed.
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
                confirmed_by_peer_s = self._peers_confirmed_s[name]
                confirmed_by_peer_s[node] = max(
                    confirmed_by_peer_s.get(node, NEVER_S), sent_s
                )

    def confirmed_s(self, name: DocumentName) -> float:
        """Returns the time of the latest confirmation of a document."""
        majority_s = self._lists.majority_time_s(self._peers_confirmed_s[name])
        return max(self._platform_confirmed_s[name], majority_s)

    def retain(self, nodes: frozenset[NodeId]) -> None:
        """Drops the answers of all nodes but ``nodes`` and this one."""
        for name, confirmed_by_peer_s in self._peers_confirmed_s.items():
            self._peers_confirmed_s[name] = {
                node: sent_s
                for node, sent_s in confirmed_by_peer_s.items()
                if node in nodes or sent_s == float("inf")
            }
