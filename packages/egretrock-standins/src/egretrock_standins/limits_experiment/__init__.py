"""Measures ways to share a rate between nodes, in virtual time.

Run ``python -m egretrock_standins.limits_experiment --help``.
"""

from egretrock_standins.limits_experiment._chaos import Chaos, ChaosPlan
from egretrock_standins.limits_experiment._scenarios import (
    Figures,
    Parameters,
    Scenario,
    run,
)
from egretrock_standins.limits_experiment._ways import Way
from egretrock_standins.limits_experiment._world import World, largest_excess

__all__ = [
    "Chaos",
    "ChaosPlan",
    "Figures",
    "Parameters",
    "Scenario",
    "Way",
    "World",
    "largest_excess",
    "run",
]
