"""The load of an upstream, from the requests of this and other hosts and the newest report."""

from ._upstreams import UpstreamEntry

REPORT_HALF_LIFE_S = 2.0


def measure_load(entry: UpstreamEntry, now_s: float) -> float:
    """Return the load as a ratio to the upstream's slots. Older reports have less weight."""
    own = len(entry.in_flight)
    total = float(own)
    report = entry.report
    if report is not None:
        others = max(report.peers_in_flight, report.running + report.waiting - own)
        if others > 0:
            age_s = max(0.0, now_s - report.measured_at_s)
            total += others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    slots = entry.declared.slots if entry.declared is not None else 1
    return total / max(slots, 1)
