"""The command ``greengage-host``: its options, settings check and run."""

import sys
from pathlib import Path
from typing import Any

import click
from returns.pipeline import is_successful
from returns.result import Failure, Result
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from greengagestage.catalog import HostSettings
from greengagestage.gateway import HostProcess, SettingsWatch
from greengagestage.platform import SETTINGS_PATH, SETTINGS_VARIABLE, parse_host_settings
from greengagestage.telemetry import BoundedOutput, start_stdout_logging

from ._exits import EXIT_INVALID_SETTINGS, EXIT_LISTEN_FAILED
from ._reactor import use_monotonic_time
from ._setting_types import SettingsError
from ._signals import handle_signals


@click.command(context_settings={"max_content_width": 100})
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    show_envvar=True,
    default=SETTINGS_PATH,
    show_default=True,
    help="The platform's settings file.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="greengagestage")
def main(path: str, check: bool) -> None:
    """Serve callers on this host."""
    outcome = read_settings_file(path)
    if not is_successful(outcome):
        click.echo(SettingsError(list(outcome.failure())).describe(), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = outcome.unwrap()
    if check:
        click.echo(f"{path}: the settings of {settings.host} are valid")
        return
    sys.exit(run(settings, path))


def read_settings_file(path: str) -> Result[HostSettings, tuple[str, ...]]:
    """Read and check the settings file. A failure lists all faults."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f"{path}: {error}",))
    return parse_host_settings(text)


def run(settings: HostSettings, path: str) -> int:
    """Run until a signal stops the process; return the exit status."""
    reactor: Any = default_reactor
    use_monotonic_time(reactor)
    output = BoundedOutput(seconds=reactor.seconds)
    start_stdout_logging(output=output, part="host", host=settings.host)
    process = HostProcess(reactor=reactor, settings=settings)
    watch = SettingsWatch(
        reactor=reactor,
        read=lambda: read_settings_file(path),
        current=settings,
        on_change=process.adopt_settings,
    )
    with handle_signals(reactor, stop=process.stop, reload=watch.check):
        try:
            process.start()
        except CannotListenError as error:
            click.echo(f"greengage-host: {error}", err=True)
            return EXIT_LISTEN_FAILED
        watch.start()
        reactor.run(installSignalHandlers=False)
    return 0
