"""Sockets towards other nodes: datagrams, and documents over HTTP."""

from egretrock_node.transport.peers._documents import DocumentExchange
from egretrock_node.transport.peers._endpoint import PeerEndpoint

__all__ = ["DocumentExchange", "PeerEndpoint"]
