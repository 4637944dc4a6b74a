"""The stand-in plain service: ``python -m standins.service``."""

from pathlib import Path

import click

from ._http import serve_handler
from ._service_routes import ServiceRoutes


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--announce", type=click.Path(path_type=Path), help="Output file for the URL.")
@click.option("--name", default="archive", show_default=True, help="Name of the service.")
@click.option("--delay-ms", default=20, show_default=True, help="Time that a call takes.")
@click.option("--ledger-file", type=click.Path(path_type=Path), help="Ledger written at a crash.")
def main(
    port: int, announce: Path | None, name: str, delay_ms: int, ledger_file: Path | None
) -> None:
    """Run a stand-in plain service on loopback."""
    routes = ServiceRoutes(name=name, delay_s=delay_ms / 1e3, ledger_file=ledger_file)
    serve_handler(handler=routes.handle, port=port, announce=announce)


if __name__ == "__main__":
    main()
