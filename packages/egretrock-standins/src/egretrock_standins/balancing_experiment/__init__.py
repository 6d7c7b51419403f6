"""Queueing model that compares ways to choose a target and to order waiting.

Run it with ``python -m egretrock_standins.balancing_experiment``.
"""

from egretrock_standins.balancing_experiment._choice import (
    ChoiceFigures,
    ChoiceRun,
    Way,
    run_choice,
)
from egretrock_standins.balancing_experiment._order import (
    Excess,
    Order,
    OrderFigures,
    OrderRun,
    run_order,
)

__all__ = [
    "ChoiceFigures",
    "ChoiceRun",
    "Excess",
    "Order",
    "OrderFigures",
    "OrderRun",
    "Way",
    "run_choice",
    "run_order",
]
