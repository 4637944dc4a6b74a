"""``greengage-host``: serves callers on a host of the operators' platform, without an agent."""

import signal


def main() -> None:
    """Run the command.

    The operators may ask for a reload while the host is still starting. Until it can handle
    SIGHUP, it ignores the signal, whose default action would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    # Importing the command takes most of the start.
    from ._host_command import main as run_command

    run_command()


if __name__ == "__main__":
    main()
