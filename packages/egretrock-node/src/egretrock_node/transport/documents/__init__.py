"""Exchange of published documents between nodes, over HTTP."""

from egretrock_node.transport.documents._documents import DocumentExchange

__all__ = ["DocumentExchange"]
