"""Findings: faults of a document, collected with their place."""

from egretrock.state.findings._findings import Finding, type_findings

__all__ = ["Finding", "type_findings"]
