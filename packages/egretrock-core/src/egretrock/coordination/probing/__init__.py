"""Load balancing by probing a few targets when a request arrives.

Load reports are out of date within milliseconds, so a node probes several
targets just before it sends a request, and chooses the one with the lowest
expected completion time.
"""

from egretrock.coordination.probing._chooser import TargetChooser
from egretrock.coordination.probing._ports import (
    IdleConnections,
    NoConnections,
    NoEvidence,
    TargetEvidence,
)
from egretrock.coordination.probing._readings import (
    LoadProbe,
    LoadReading,
)
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.coordination.probing._subsets import (
    Subset,
    SubsetSettings,
    TargetSubsets,
)
from egretrock.coordination.probing._target_book import UsableTargets

__all__ = [
    "ChoiceSettings",
    "IdleConnections",
    "LoadProbe",
    "LoadReading",
    "NoConnections",
    "NoEvidence",
    "Subset",
    "SubsetSettings",
    "TargetChooser",
    "TargetEvidence",
    "TargetSubsets",
    "UsableTargets",
]
