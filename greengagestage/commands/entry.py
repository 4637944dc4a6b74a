"""``greengage-entry``: serves callers on an entry host, next to its ``greengage-agent``."""

from ._held_signals import hold_signals


def main() -> None:
    """Run the command."""
    hold_signals()
    from ._entry_command import main as run_command

    run_command()


if __name__ == "__main__":
    main()
