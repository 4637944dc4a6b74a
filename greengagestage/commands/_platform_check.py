"""``greengage check-platform``: checks a platform configuration before it is sent."""

import sys
from pathlib import Path

import click
import msgspec
from returns.result import Success

from greengagestage.platform import DocumentReport, check_document

EXIT_FINDINGS = 1
EXIT_UNUSABLE = 2

_FILE = click.Path(dir_okay=False, path_type=Path)


@click.command("check-platform")
@click.argument("file", type=_FILE)
@click.option("--in-force", type=_FILE, help="The document in force, to list the differences from.")
@click.option("--json", "as_json", is_flag=True, help="Print the report as JSON.")
def check_platform(file: Path, in_force: Path | None, as_json: bool) -> None:
    """Check a platform configuration document, JSON as in the store's row op/config.

    Exit status: 0 without findings, 1 with findings, 2 if a file is unusable.
    """
    data = _read(file)
    match check_document(data, None if in_force is None else _read(in_force)):
        case Success(report):
            _print_report(report, as_json=as_json)
            sys.exit(EXIT_FINDINGS if report.findings else 0)
        case failure:
            _exit_unusable(failure.failure())


def _read(file: Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        _exit_unusable(f"{file}: {error.strerror}")
        raise


def _exit_unusable(reason: str) -> None:
    click.echo(reason, err=True)
    sys.exit(EXIT_UNUSABLE)


def _print_report(report: DocumentReport, *, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(report))
        return
    for finding in report.findings:
        click.echo(f"{finding.number} {finding.location}: {finding.message}")
    if report.in_force is not None and report.version is not None:
        click.echo(f"version {report.in_force} -> {report.version}:")
        for difference in report.differences or ["no difference"]:
            click.echo(f"  {difference}")
    click.echo(f"{len(report.findings) or 'no'} finding{'s' * (len(report.findings) != 1)}")
