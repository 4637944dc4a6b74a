"""Messages between hosts, and what they tell each other of load and streams."""

from ._loss_reports import MAX_RECORDS, build_loss_reports, read_loss_report
from ._peer_messages import (
    MAX_DATAGRAM_BYTES,
    ConfigurationReport,
    LossesReport,
    RegistryReport,
    SuspectsReport,
    VersionsReport,
    VersionTimes,
)
from ._peers import PeerCallbacks, PeerLink
from ._suspect_reports import build_suspect_reports, read_suspect_report

__all__ = [
    "ConfigurationReport",
    "LossesReport",
    "MAX_DATAGRAM_BYTES",
    "MAX_RECORDS",
    "PeerCallbacks",
    "PeerLink",
    "RegistryReport",
    "SuspectsReport",
    "VersionTimes",
    "VersionsReport",
    "build_loss_reports",
    "build_suspect_reports",
    "read_loss_report",
    "read_suspect_report",
]
