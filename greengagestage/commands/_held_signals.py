"""Signals that arrive while a server program still starts."""

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Hold signals back until the program handles them; their default action would end it.

    Called before the imports, which take most of the start.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
