"""UDP datagrams between nodes."""

from egretrock_node.transport.peers._endpoint import PeerEndpoint

__all__ = ["PeerEndpoint"]
