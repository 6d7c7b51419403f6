"""Text output of ``egretrockctl``."""

from egretrock_node.protocol.status import DocumentStatus, NodeStatus


def render_status(status: NodeStatus) -> str:
    """Returns a status as human-readable text."""
    lines = [
        f"node          {status.node} in {status.data_centre},"
        f" up {status.uptime_s:.0f} s, version {status.version}",
        f"ready         {_yes_or_no(status.ready)}",
        *(f"              {reason}" for reason in status.not_ready_reasons),
        f"fresh         {_yes_or_no(status.fresh)}",
        f"draining      {_yes_or_no(status.draining)}",
        f"in flight     {status.in_flight}",
        *_document_lines("configuration", status.config),
        *_document_lines("VM list", status.vms),
        f"partitions    {len(status.partitions_held)} held",
        "",
        "peers",
    ]
    lines += [
        f"  {peer.node:<22} {peer.data_centre:<12}"
        f" {'alive' if peer.alive else 'not heard from'}"
        for peer in status.peers
    ]
    lines += ["", "organisations"]
    lines += [
        f"  {entry.organisation:<22} {entry.rate_per_s:g}/s,"
        f" burst {entry.burst:g}, home {entry.home or '-'}"
        for entry in status.organisations
    ]
    lines += ["", "targets"]
    lines += [
        f"  {entry.service}/{entry.target:<16} {entry.data_centre:<12}"
        f" {entry.state:<10} {entry.in_flight} in flight,"
        f" home {entry.home or '-'}"
        for entry in status.targets
    ]
    lines += ["", "counters"]
    lines += [f"  {name:<44} {n}" for name, n in status.counters.items()]
    return "\n".join(lines)


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _document_lines(title: str, document: DocumentStatus) -> list[str]:
    revision = document.revision if document.revision is not None else "none"
    lines = [f"{title:<13} revision {revision}"]
    if document.refused_revision is not None:
        lines.append(
            f"              revision {document.refused_revision} refused:"
        )
        lines += [f"                {f}" for f in document.findings]
    return lines
