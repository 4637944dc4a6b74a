"""The stand-in platform, which keeps its state in memory: ``python -m standins.platform``."""

from pathlib import Path

import click

from ._http import serve_handler
from ._platform_routes import PlatformRoutes


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--announce", type=click.Path(path_type=Path), help="Output file for the URL.")
@click.option("--host-lag-ms", default=1000, show_default=True, help="Delay of the host list.")
@click.option("--permits-per-s", default=1.0, show_default=True, help="Rate of weight permits.")
def main(port: int, announce: Path | None, host_lag_ms: int, permits_per_s: float) -> None:
    """Run a stand-in platform on loopback."""
    routes = PlatformRoutes(host_lag_s=host_lag_ms / 1e3, permits_per_s=permits_per_s)
    serve_handler(handler=routes.handle, port=port, announce=announce)


if __name__ == "__main__":
    main()
