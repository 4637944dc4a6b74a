"""Watches of the store, the registry, the settings and the links."""

from ._era_table import EraTable
from ._host_list import HostList, HostRow
from ._link_watch import LinkWatch
from ._registry_watch import RegistryWatch
from ._route_watch import RouteWatch
from ._settings_watch import SettingsWatch
from ._store_clock import StoreClock, read_boot_time_s
from ._store_era import StoreEra
from ._upstream_notices import UpstreamNotices
from ._version_table import VersionTable

__all__ = [
    "EraTable",
    "HostList",
    "HostRow",
    "LinkWatch",
    "RegistryWatch",
    "RouteWatch",
    "SettingsWatch",
    "StoreClock",
    "StoreEra",
    "UpstreamNotices",
    "VersionTable",
    "read_boot_time_s",
]
