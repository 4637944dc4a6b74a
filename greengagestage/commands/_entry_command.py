"""The command ``greengage-entry``: its options, settings check and run."""

import sys
from typing import IO, Any

import click
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from greengagestage.entry import EntryProcess, EntrySettings, FleetView, RoutingPolicy
from greengagestage.telemetry import open_log, start_file_logging
from greengagestage.wire import AgentLink

from ._claims import build_claim_store
from ._entry_settings import ENTRY_SETTINGS, build_entry_settings
from ._exits import EXIT_INVALID_SETTINGS, EXIT_LISTEN_FAILED
from ._reactor import use_monotonic_time
from ._setting_types import SettingsError, add_setting_options
from ._signals import handle_signals


@click.command(context_settings={"max_content_width": 100})
@add_setting_options(ENTRY_SETTINGS)
@click.version_option(package_name="greengagestage")
def main(**texts: str) -> None:
    """Serve callers on this host.

    Every setting can also be given as an environment variable: GREENGAGE_ and the flag's name
    in capitals. Addresses are IP addresses with a port.
    """
    try:
        settings = build_entry_settings(texts)
    except SettingsError as error:
        click.echo(error.describe(), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.exit(run(settings, open_log(texts["log_file"])))


def run(settings: EntrySettings, log_file: IO[bytes], policy: RoutingPolicy | None = None) -> int:
    """Run until a signal stops the process; return the exit status."""
    reactor: Any = default_reactor
    use_monotonic_time(reactor)
    start_file_logging(file=log_file, part="entry", host=settings.host)
    fleet = FleetView()
    process = EntryProcess(
        reactor=reactor,
        settings=settings,
        claims=build_claim_store(
            reactor=reactor,
            settings=settings,
            fleet=fleet,
            workspaces=lambda: process.workspaces,
        ),
        fleet=fleet,
        connect=lambda on_message: AgentLink(
            reactor=reactor,
            address=settings.agent,
            fleet_key=settings.fleet_key,
            second_fleet_key=settings.second_fleet_key,
            on_message=on_message,
        ),
        policy=policy,
    )
    with handle_signals(reactor, stop=process.stop):
        try:
            process.start()
        except CannotListenError as error:
            click.echo(f"greengage-entry: {error}", err=True)
            return EXIT_LISTEN_FAILED
        reactor.run(installSignalHandlers=False)
    return 0
