"""The operator endpoint: health, readiness, status and drain."""

from egretrock_node.transport.operator._endpoint import OperatorEndpoint

__all__ = ["OperatorEndpoint"]
