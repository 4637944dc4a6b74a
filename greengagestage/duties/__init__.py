"""Duties at the platform API, each of which one host at a time performs."""

from ._autoscaler import FleetView
from ._clocks import Clocks
from ._holder import DutyHolder
from ._messages import DutyBody, DutyReport, UsageReceipt, UsageReport
from ._service import DutyService

__all__ = [
    "Clocks",
    "DutyBody",
    "DutyHolder",
    "DutyReport",
    "DutyService",
    "FleetView",
    "UsageReceipt",
    "UsageReport",
]
