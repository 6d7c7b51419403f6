"""Base class of the daemon and the gateway, and the process that runs one."""

from egretrock_node.wiring._node import NodeService
from egretrock_node.wiring._process import NodeProcess

__all__ = ["NodeProcess", "NodeService"]
