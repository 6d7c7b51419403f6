"""What the fleet knows of the failures of targets."""

from egretrock.coordination.evidence._evidence import (
    EvidenceChange,
    FleetEvidence,
)
from egretrock.coordination.evidence._judge import VerdictCause
from egretrock.coordination.evidence._messages import (
    EVIDENCE_MESSAGES,
    EvidenceReport,
    EvidenceTable,
)
from egretrock.coordination.evidence._settings import EvidenceSettings

__all__ = [
    "EVIDENCE_MESSAGES",
    "EvidenceChange",
    "EvidenceReport",
    "EvidenceSettings",
    "EvidenceTable",
    "FleetEvidence",
    "VerdictCause",
]
