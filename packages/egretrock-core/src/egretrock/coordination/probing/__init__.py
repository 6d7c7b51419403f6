"""Choice of a target by probing a few of them when a request arrives.

A load report is out of date within milliseconds, so a node asks several
targets just before it sends and takes the one that will be done first.
"""

from egretrock.coordination.probing._chooser import (
    ServiceView,
    TargetChooser,
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

__all__ = [
    "ChoiceSettings",
    "LoadProbe",
    "LoadReading",
    "ServiceView",
    "Subset",
    "SubsetSettings",
    "TargetChooser",
    "TargetSubsets",
]
