"""``greengage``: the operators' command-line client."""

import sys
import uuid
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import click
from returns.pipeline import is_successful
from rich.console import Console
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater, react

from greengagestage import __version__
from greengagestage.configuration import Declaration, read_checked_declaration
from greengagestage.ids import CommandId
from greengagestage.language import (
    ApplyRequest,
    CommandAnswer,
    CommandRequest,
    complete,
    describe_topic,
)
from greengagestage.results import ResultCode

from ._agent_client import send_command
from ._platform_check import check_platform
from ._rendering import open_console, render_json, render_table

EXIT_FAILED = 1
WATCH_INTERVAL_S = 2.0

CommandCall = Callable[[Any], Coroutine[Any, Any, CommandAnswer]]


def run_on_reactor(call: CommandCall) -> CommandAnswer:
    """Run one coroutine on the reactor, stop it, and return the answer.

    The reactor cannot be started twice: a process calls this once.
    """
    answers: list[CommandAnswer] = []

    async def store_answer(reactor: Any) -> None:
        answers.append(await call(reactor))

    try:
        react(lambda reactor: ensureDeferred(store_answer(reactor)))
    except SystemExit as stop:
        if stop.code:
            raise
    return answers[0]


def print_and_exit(console: Console, text: str, answer: CommandAnswer, as_json: bool) -> None:
    """Print the answer and exit with 0, or with 1 for a result code above 0."""
    if as_json:
        render_json(console, answer)
    else:
        render_table(console, text, answer)
    sys.exit(EXIT_FAILED if answer.code else 0)


def get_or_create_command_id(given: str) -> CommandId:
    """Return the given command id, or a new one if it is empty."""
    return CommandId(given or uuid.uuid4().hex)


def load_declaration(file: Path) -> Declaration:
    """Return the declaration in a TOML file, or print its faults and exit with 1."""
    result = read_checked_declaration(file.read_text())
    if is_successful(result):
        return result.unwrap()
    for fault in result.failure():
        click.echo(f"{file}: {fault.describe()}", err=True)
    click.echo(f"result code {ResultCode.DECLARATION_INVALID.value}", err=True)
    sys.exit(EXIT_FAILED)


@click.group(context_settings={"auto_envvar_prefix": "GREENGAGE", "max_content_width": 100})
@click.version_option(__version__)
@click.option(
    "--agent",
    default="http://127.0.0.1:7300",
    show_default=True,
    show_envvar=True,
    help="URL of the operators' endpoint of any agent.",
)
@click.option("--key", default="", show_envvar=True, help="The operator's key.")
@click.pass_context
def main(context: click.Context, agent: str, key: str) -> None:
    """Inspect and change a running greengagestage."""
    context.obj = {"agent": agent, "key": key}


@main.command()
@click.argument("words", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
@click.option("--dry-run", is_flag=True, help="Show what a change would do; change nothing.")
@click.option("--watch", is_flag=True, help="Repeat the command every 2 s until interrupted.")
@click.option(
    "--command-id", default="", help="Id of an earlier change, to retry it if its answer was lost."
)
@click.pass_obj
def run(
    target: dict[str, str],
    words: tuple[str, ...],
    as_json: bool,
    dry_run: bool,
    watch: bool,
    command_id: str,
) -> None:
    """Run one line of the language, for example: greengage run 'show upstreams'."""
    text = " ".join(words)
    request = CommandRequest(
        text=text, dry_run=dry_run, command_id=get_or_create_command_id(command_id)
    )
    console = open_console()

    async def ask(reactor: Any) -> CommandAnswer:
        answer = await send_command(reactor, target["agent"], target["key"], request)
        while watch and not answer.code:
            console.clear()
            render_table(console, text, answer)
            await deferLater(reactor, WATCH_INTERVAL_S)
            answer = await send_command(reactor, target["agent"], target["key"], request)
        return answer

    print_and_exit(console, text, run_on_reactor(ask), as_json)


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check a declaration and report every fault with its line."""
    load_declaration(file)
    click.echo(f"{file}: no fault")


@main.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
@click.option("--dry-run", is_flag=True, help="Show the difference; change nothing.")
@click.option(
    "--command-id", default="", help="Id of an earlier apply, to retry it if its answer was lost."
)
@click.pass_obj
def apply(
    target: dict[str, str], file: Path, as_json: bool, dry_run: bool, command_id: str
) -> None:
    """Apply a declaration as the next version, unless another is accepted in the meantime.

    The first declaration of a fleet is applied with the fleet key.
    """
    load_declaration(file)
    request = ApplyRequest(
        toml=file.read_text(), dry_run=dry_run, command_id=get_or_create_command_id(command_id)
    )

    async def send(reactor: Any) -> CommandAnswer:
        return await send_command(reactor, target["agent"], target["key"], request)

    print_and_exit(open_console(), "apply", run_on_reactor(send), as_json)


main.add_command(check_platform)


@main.command("complete")
@click.argument("line", default="")
def complete_line(line: str) -> None:
    """Print the possible next words of an unfinished LINE, one per line."""
    for word in complete(line):
        click.echo(word)


@main.command("language")
@click.argument("topic", required=False)
def show_language(topic: str | None) -> None:
    """Explain the language, or one of its commands, with examples."""
    for line in describe_topic(topic):
        click.echo(line)


if __name__ == "__main__":
    main()
