"""The command ``greengage-agent``: its options, settings check and run."""

import sys
from random import Random
from typing import IO, Any

import click
from pynng.exceptions import NNGException
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from greengagestage import __version__
from greengagestage.agent import AgentProcess, AgentSettings, listen_http
from greengagestage.telemetry import open_log, start_file_logging

from ._agent_settings import AGENT_SETTINGS, build_agent_settings
from ._exits import EXIT_INVALID_SETTINGS, EXIT_LISTEN_FAILED
from ._reactor import use_monotonic_time
from ._setting_types import SettingsError, add_setting_options
from ._signals import handle_signals


@click.command(context_settings={"max_content_width": 100})
@add_setting_options(AGENT_SETTINGS)
@click.version_option(__version__)
def main(**texts: str) -> None:
    """Run this host's control process: configuration, membership, upstream state, operators.

    Every setting can also be given as an environment variable: GREENGAGE_ and the flag's name
    in capitals. Addresses are IP addresses with a port.
    """
    try:
        settings = build_agent_settings(texts)
    except SettingsError as error:
        click.echo(error.describe(), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    status = run(settings, open_log(texts["log_file"]))
    sys.exit(status)


def run(settings: AgentSettings, log_file: IO[bytes]) -> int:
    """Run until a signal stops the process; return the exit status."""
    reactor: Any = default_reactor
    use_monotonic_time(reactor)
    start_file_logging(file=log_file, part="agent", host=settings.host)
    process = AgentProcess(reactor=reactor, settings=settings, random=Random())
    with handle_signals(reactor, stop=process.stop):
        try:
            process.start()
            listen_http(reactor=reactor, process=process)
        except (CannotListenError, NNGException) as error:
            click.echo(f"greengage-agent: {error}", err=True)
            return EXIT_LISTEN_FAILED
        reactor.run(installSignalHandlers=False)
    return 0
