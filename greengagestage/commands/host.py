"""``greengage-host``: serves callers on a host of the operators' platform, without an agent."""

from ._held_signals import hold_signals


def main() -> None:
    """Run the command."""
    hold_signals()
    from ._host_command import main as run_command

    run_command()


if __name__ == "__main__":
    main()
