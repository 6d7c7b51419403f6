"""Runs the stand-in platform as a process."""

import sys

import cyclopts

from egretrock_standins.http import listen, run_process
from egretrock_standins.platform import Platform

app = cyclopts.App(name="platform", help=__doc__)


@app.default
def main(
    address: str = "127.0.0.1:0",
    control_address: str = "127.0.0.1:0",
    seed: int = 0,
) -> None:
    """Serves until a signal; prints both addresses as JSON once ready.

    Args:
        address: "ip:port" for readers; port 0 picks a free one.
        control_address: "ip:port" of the control endpoint.
        seed: Seed of the choice of reads that a stale replica answers.
    """
    platform = Platform(address, seed)
    port = listen(control_address, platform.control())
    control = f"{port.getHost().host}:{port.getHost().port}"
    run_process({"address": platform.address, "control": control})


if __name__ == "__main__":
    sys.exit(app())
