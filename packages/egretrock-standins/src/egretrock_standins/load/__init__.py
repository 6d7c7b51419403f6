"""Load generators: closed loop, and open loop with seeded arrivals."""

from egretrock_standins.load._processes import Generators, run_generators
from egretrock_standins.load._results import (
    CallerResult,
    LoadResult,
    RequestRecord,
    merge_results,
)
from egretrock_standins.load._run import run_load
from egretrock_standins.load._spec import Caller, LoadSpec, Mode, RequestKind

__all__ = [
    "Caller",
    "CallerResult",
    "Generators",
    "LoadResult",
    "LoadSpec",
    "Mode",
    "RequestKind",
    "RequestRecord",
    "merge_results",
    "run_generators",
    "run_load",
]
