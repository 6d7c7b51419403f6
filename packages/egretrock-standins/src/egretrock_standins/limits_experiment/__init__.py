"""Compares methods to share a rate between nodes, in virtual time.

Run ``python -m egretrock_standins.limits_experiment --help``.
"""

from egretrock_standins.limits_experiment._chaos import Chaos, ChaosPlan
from egretrock_standins.limits_experiment._scenarios import (
    Parameters,
    RunMetrics,
    Scenario,
    run,
)
from egretrock_standins.limits_experiment._ways import SharingMethod
from egretrock_standins.limits_experiment._world import (
    LimiterFleet,
    largest_excess,
)

__all__ = [
    "Chaos",
    "ChaosPlan",
    "LimiterFleet",
    "Parameters",
    "RunMetrics",
    "Scenario",
    "SharingMethod",
    "largest_excess",
    "run",
]
