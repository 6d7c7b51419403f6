"""Findings: errors in a document, each with the path of its value."""

from egretrock.state.findings._findings import Finding, type_findings

__all__ = ["Finding", "type_findings"]
