"""The published configuration: its typed model and its checks.

Example:
    >>> from egretrock.state.config import check_config
    >>> report = check_config(b'{"services": {}}')
    >>> report.findings[0].path
    'organisations'
"""

from egretrock.state.config._check import (
    ConfigReport,
    VmListReport,
    check_config,
    check_vm_list,
    is_address,
    split_address,
)
from egretrock.state.config._model import (
    UNLIMITED_RATE_PER_S,
    Access,
    BalancingPolicy,
    BalancingProfile,
    DataCentre,
    DataCentreState,
    HedgeProfile,
    Organisation,
    ProbeProfile,
    Profile,
    PublishedConfig,
    RetryProfile,
    Route,
    Service,
    Target,
    TargetPublishedState,
    WarmupProfile,
    usable_target,
)

__all__ = [
    "UNLIMITED_RATE_PER_S",
    "Access",
    "BalancingPolicy",
    "BalancingProfile",
    "ConfigReport",
    "DataCentre",
    "DataCentreState",
    "HedgeProfile",
    "Organisation",
    "ProbeProfile",
    "Profile",
    "PublishedConfig",
    "RetryProfile",
    "Route",
    "Service",
    "Target",
    "TargetPublishedState",
    "VmListReport",
    "WarmupProfile",
    "check_config",
    "check_vm_list",
    "is_address",
    "split_address",
    "usable_target",
]
