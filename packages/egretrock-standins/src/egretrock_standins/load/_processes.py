"""Runs each generator in its own process, so that they share no core."""

import pathlib
import tempfile
import time

import msgspec

from egretrock_standins.fleet_runner import ManagedProcess, ProcessError
from egretrock_standins.load._results import LoadResult, merge_results
from egretrock_standins.load._spec import LoadSpec

#: Time from the start of a generator until it can send requests.
START_DELAY_S = 1.5


class Generators:
    """Starts generators at the same time and merges their results.

    Args:
        specs: One process runs each; ``start_at_s`` is set here.
    """

    def __init__(self, specs: list[LoadSpec]) -> None:
        self._scratch = tempfile.TemporaryDirectory(prefix="egretrock-load-")
        self._processes: list[ManagedProcess] = []
        self._timeout_s = max(s.duration_s + s.timeout_s for s in specs) + 30
        folder = pathlib.Path(self._scratch.name)
        self.start_at_s = time.monotonic() + START_DELAY_S
        for number, spec in enumerate(specs):
            timed = msgspec.structs.replace(spec, start_at_s=self.start_at_s)
            file = folder / f"spec-{number}.json"
            file.write_bytes(msgspec.json.encode(timed))
            module = "egretrock_standins.load.generator"
            command = ["-m", module, str(file)]
            name = f"generator-{number}"
            self._processes.append(ManagedProcess(name, command, folder))

    def results(self) -> LoadResult:
        """Waits until all have ended; returns the merged result."""
        results = []
        for process in self._processes:
            if process.wait(self._timeout_s) != 0:
                raise ProcessError(f"{process.name} failed: {process.log()}")
            results.append(
                msgspec.json.decode(process.output(), type=LoadResult)
            )
        return merge_results(results)

    def __enter__(self) -> "Generators":
        """Returns the started generators."""
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all generators."""
        for process in self._processes:
            process.stop()
        self._scratch.cleanup()


def run_generators(specs: list[LoadSpec]) -> LoadResult:
    """Runs generators at the same time; returns the merged result."""
    with Generators(specs) as generators:
        return generators.results()
