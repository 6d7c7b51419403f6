"""Measures the memory that each kind of entry takes in a node.

Two documents of different size are loaded; the difference in traced bytes
divided by the difference in entries is the slope.
"""

import gc
import hashlib
import json
import random
import tracemalloc
from collections.abc import Callable
from typing import Any

import cyclopts

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet import (
    DocumentName,
    Fleet,
    FleetSettings,
    Heartbeat,
)
from egretrock.state.config import check_config, check_vm_list
from egretrock.state.ids import Incarnation, NodeId, Revision

app = cyclopts.App(name="slopes.memory", help=__doc__)


def _address(number: int) -> str:
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000"


def config_document(organisations: int, keys: int, targets: int) -> bytes:
    """Returns a configuration with given numbers of entries."""
    tree: dict[str, Any] = {
        "organisations": {
            f"organisation-{n}": {"rate_per_s": 100, "burst": 50}
            for n in range(organisations)
        },
        "data_centres": {"east": {}},
        "profiles": {"records": {}},
        "services": {
            "records": {
                "profile": "records",
                "targets": {
                    f"records-{n}": {
                        "address": _address(n),
                        "data_centre": "east",
                        "slots": 2,
                    }
                    for n in range(targets)
                },
            }
        },
        "routes": {"records": {"path_prefix": "/", "service": "records"}},
        "keys": {
            hashlib.sha256(b"%d" % n).hexdigest(): "organisation-0"
            for n in range(keys)
        },
    }
    return json.dumps(tree, separators=(",", ":")).encode()


def vm_document(nodes: int) -> bytes:
    """Returns a VM list with a given number of nodes."""
    vms = {_address(n + 1): {"data_centre": "east"} for n in range(nodes)}
    return json.dumps({"vms": vms}, separators=(",", ":")).encode()


def _traced_bytes(build: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return size_bytes


def slope(
    build: Callable[[int], Any], small: int = 200, large: int = 2200
) -> float:
    """Returns the bytes per entry of the result of ``build(count)``."""
    # The first build fills caches that later ones share.
    build(small)
    difference = _traced_bytes(lambda: build(large)) - _traced_bytes(
        lambda: build(small)
    )
    return difference / (large - small)


def _fleet_with_peers(count: int) -> Fleet:
    """Returns a fleet part that has heard from all nodes of its VM list."""
    settings = FleetSettings(NodeId(_address(1)))
    fleet = Fleet(settings, Incarnation(1), random.Random(1), 0.0)
    raw = vm_document(count)
    fleet.on_document(DocumentName.VMS, Revision(1), raw, 0.0, 0.0)
    for number in range(2, count + 1):
        peer = Peer(NodeId(_address(number)), Incarnation(number))
        body = Heartbeat(question=1, vms_in_force=Revision(1))
        fleet.on_message(peer, body, 0.1)
    return fleet


@app.default
def main() -> None:
    """Prints bytes per entry, in memory and in the published document."""
    rows = {
        "organisation": lambda n: config_document(n, 0, 1),
        "key": lambda n: config_document(1, n, 1),
        "target": lambda n: config_document(1, 0, n),
    }
    print(f"{'entry':<16}{'memory, bytes':>16}{'document, bytes':>18}")
    for name, document in rows.items():
        memory = slope(lambda n, make=document: check_config(make(n)).value)
        size = (len(document(2200)) - len(document(200))) / 2000
        print(f"{name:<16}{memory:>16.0f}{size:>18.0f}")
    memory = slope(lambda n: check_vm_list(vm_document(n)).value)
    size = (len(vm_document(2200)) - len(vm_document(200))) / 2000
    print(f"{'listed VM':<16}{memory:>16.0f}{size:>18.0f}")
    memory = slope(_fleet_with_peers)
    print(f"{'peer heard':<16}{memory:>16.0f}{'-':>18}")


if __name__ == "__main__":
    app()
