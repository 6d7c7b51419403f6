"""Load generators: closed loop, and open loop with seeded arrivals."""

from egretrock_standins.load._results import (
    CallerResult,
    LoadResult,
    merge_results,
)
from egretrock_standins.load._run import run_load
from egretrock_standins.load._spec import Caller, LoadSpec, Mode

__all__ = [
    "Caller",
    "CallerResult",
    "LoadResult",
    "LoadSpec",
    "Mode",
    "merge_results",
    "run_load",
]
