"""``greengage-agent``: the control process of an entry host."""

from ._held_signals import hold_signals


def main() -> None:
    """Run the command."""
    hold_signals()
    from ._agent_command import main as run_command

    run_command()


if __name__ == "__main__":
    main()
