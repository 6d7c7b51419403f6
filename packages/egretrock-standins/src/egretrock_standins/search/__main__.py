"""Runs random faults: ``python -m egretrock_standins.search --seeds 200``."""

import concurrent.futures
import functools
import sys

import cyclopts

from egretrock_standins.search import SearchSubject, run_seed


def main(
    seeds: int = 100,
    first_seed: int = 1,
    nodes: int = 16,
    span_s: float = 10.0,
    jobs: int = 2,
    subject: SearchSubject = SearchSubject.RATE,
) -> None:
    """Runs seeds and prints the schedules of those that break a bound."""
    seed_range = range(first_seed, first_seed + seeds)
    run_one = functools.partial(
        run_seed, nodes=nodes, span_s=span_s, subject=subject
    )
    failed = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(run_one, seed_range):
            if not result.violations:
                continue
            failed.append(result.seed)
            print(f"seed {result.seed}")
            for event in result.events:
                end_s = event.at_s + event.duration_s
                print(
                    f"  {event.at_s:5.2f} to {end_s:5.2f} s"
                    f" {event.kind.value} {list(event.nodes)}"
                )
            for violation in result.violations:
                print(f"  BROKEN: {violation.bound}: {violation.observed}")
    print(f"{seeds} seeds from {first_seed}: {len(failed)} failed {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    cyclopts.run(main)
