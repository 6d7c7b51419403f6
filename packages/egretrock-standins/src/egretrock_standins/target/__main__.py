"""Runs one or several stand-in targets as a process."""

import pathlib
import sys

import cyclopts
import msgspec

from egretrock_standins.http import listen, run_process
from egretrock_standins.target import TargetOptions, TargetServer
from egretrock_standins.target._server import control_resource

app = cyclopts.App(name="target", help=__doc__)


@app.default
def main(
    options: pathlib.Path | None = None,
    control_address: str = "127.0.0.1:0",
) -> None:
    """Serves until a signal; prints all addresses as JSON once ready.

    Args:
        options: YAML or JSON file with a list of target options, one entry
            per target; one target with default options if not given.
        control_address: "ip:port" of the control endpoint.
    """
    entries = [TargetOptions()]
    if options is not None:
        text = options.read_bytes()
        entries = msgspec.yaml.decode(text, type=list[TargetOptions])
    servers = [TargetServer(entry) for entry in entries]
    port = listen(control_address, control_resource(servers))
    addresses = {s.target.options.target_id: s.address for s in servers}
    control = f"{port.getHost().host}:{port.getHost().port}"
    run_process({"targets": addresses, "control": control})


if __name__ == "__main__":
    sys.exit(app())
