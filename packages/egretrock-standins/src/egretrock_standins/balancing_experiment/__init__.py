"""Queueing models that compare target selection methods and queue orders.

Run it with ``python -m egretrock_standins.balancing_experiment``.
"""

from egretrock_standins.balancing_experiment._choice import (
    ChoiceMethod,
    ChoiceMetrics,
    ChoiceRun,
    run_choice,
)
from egretrock_standins.balancing_experiment._order import (
    ExcessKind,
    OrderMetrics,
    OrderRun,
    QueueOrder,
    run_order,
)

__all__ = [
    "ChoiceMethod",
    "ChoiceMetrics",
    "ChoiceRun",
    "ExcessKind",
    "OrderMetrics",
    "OrderRun",
    "QueueOrder",
    "run_choice",
    "run_order",
]
