"""The daemon: assembles and runs one node."""

from egretrock_node.daemon._node import Node, NodeAdapters
from egretrock_node.daemon._run import run_node
from egretrock_node.lifecycle import DrainController, DrainOutcome

__all__ = [
    "DrainController",
    "DrainOutcome",
    "Node",
    "NodeAdapters",
    "run_node",
]
