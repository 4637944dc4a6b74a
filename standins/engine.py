"""The stand-in model engine: ``python -m standins.engine``."""

from pathlib import Path

import click

from ._batch import StepCosts
from ._engine import Engine, EngineSettings
from ._engine_routes import EngineRoutes
from ._http import serve_handler
from ._orders import Fencing


@click.command()
@click.option("--port", default=0, help="Port to listen on; 0 lets the system choose.")
@click.option("--announce", type=click.Path(path_type=Path), help="Output file for the URL.")
@click.option("--model", "models", multiple=True, default=("gear-7b",), help="A loaded model.")
@click.option("--slots", default=8, show_default=True, help="Sequences run concurrently.")
@click.option("--step-base-ms", default=8.0, show_default=True, help="Fixed time of each step.")
@click.option("--sequence-ms", default=0.5, show_default=True, help="Step time added per sequence.")
@click.option("--context-us", default=0.5, show_default=True, help="Step time per context token.")
@click.option("--prefill-us", default=60.0, show_default=True, help="Step time per prompt token.")
@click.option("--report-lag-ms", default=500, show_default=True, help="Age of the load report.")
@click.option("--cache-tokens", default=20_000, show_default=True, help="Prefix cache capacity.")
@click.option("--event-lag-ms", default=1000, show_default=True, help="Delay of cache events.")
@click.option("--event-gaps", default=0.1, show_default=True, help="Share of lost events.")
@click.option("--fencing", type=click.Choice([mode.value for mode in Fencing]), default="checked")
@click.option("--split-writes", is_flag=True, help="Let written chunks end at any byte.")
@click.option("--seed", default=0, help="Seed that selects the lost events.")
@click.option("--ledger-file", type=click.Path(path_type=Path), help="Ledger written at a crash.")
def main(
    port: int,
    announce: Path | None,
    models: tuple[str, ...],
    slots: int,
    step_base_ms: float,
    sequence_ms: float,
    context_us: float,
    prefill_us: float,
    report_lag_ms: int,
    cache_tokens: int,
    event_lag_ms: int,
    event_gaps: float,
    fencing: str,
    split_writes: bool,
    seed: int,
    ledger_file: Path | None,
) -> None:
    """Run a stand-in model engine on loopback."""
    costs = StepCosts(
        base_ms=step_base_ms,
        sequence_ms=sequence_ms,
        context_us=context_us,
        prefill_us=prefill_us,
    )
    settings = EngineSettings(
        models=models,
        slots=slots,
        costs=costs,
        report_lag_s=report_lag_ms / 1e3,
        cache_tokens=cache_tokens,
        event_lag_s=event_lag_ms / 1e3,
        event_gap_share=event_gaps,
        fencing=Fencing(fencing),
        split_writes=split_writes,
        seed=seed,
        ledger_file=ledger_file,
    )
    routes = EngineRoutes(engine=Engine(settings=settings))
    serve_handler(handler=routes.handle, port=port, announce=announce)


if __name__ == "__main__":
    main()
