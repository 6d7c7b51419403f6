"""What every wiring of a node shares: its base and the process around it."""

from egretrock_node.wiring._node import NodeService
from egretrock_node.wiring._process import NodeProcess

__all__ = ["NodeProcess", "NodeService"]
