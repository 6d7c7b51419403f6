"""Division of requests among alternatives by weight.

Every node divides the requests that it gets, and most nodes of a large fleet
get few. So the shares must hold over all nodes after a request or two of each,
and not only on one node after many.
"""

from egretrock.coordination.shares._rotation import WeightedRotation

__all__ = ["WeightedRotation"]
