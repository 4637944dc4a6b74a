"""Decides which run of a request the caller gets, without I/O."""

from typing import Generic, TypeVar

from ._attempt_faults import AttemptFault

Run = TypeVar("Run")


class Winner(Generic[Run]):
    """Holds the runs of one request that are under way, and decides between them.

    A silent upstream may be sound and go on at any time. Its run is therefore kept beside a second
    one, the successor, until one of the two is chosen: the first that begins an answer which the
    caller can get, or of which a part has gone to the caller. The other one has lost and has to be
    cancelled at once, so that its bytes never follow those of the chosen one.

    Attributes:
        current: The run whose answer is received; None while there is none.
        successor: The second run; None while there is none.
    """

    def __init__(self) -> None:
        self.current: Run | None = None
        self.successor: Run | None = None

    def may_join(self, *, can_restart: bool) -> bool:
        """Return whether a second run may be started beside the current one.

        Args:
            can_restart: Another run's answer can supply what the caller has not got.
        """
        return self.current is not None and self.successor is None and can_restart

    def begin(self, run: Run) -> None:
        """Add the only run."""
        self.current = run

    def join(self, successor: Run) -> None:
        """Add a second run."""
        self.successor = successor

    def judge_head(self, *, failed: bool, continues: bool) -> AttemptFault | None:
        """Return why an answer that begins is not taken; None if its run is to be chosen.

        An error is taken only if no other run can still answer.

        Args:
            failed: The answer is an error of the upstream.
            continues: The answer can follow what the caller has got.
        """
        if self.successor is not None and (failed or not continues):
            return AttemptFault.FAILED
        return None if continues else AttemptFault.MALFORMED

    def choose(self, run: Run) -> Run | None:
        """Make one run the current and only one; return the one that has lost, if any.

        To be called when a run's answer is taken, and again when a part of it has gone to the
        caller, since another run may have joined it in between.
        """
        loser = self.successor if run is self.current else self.current
        self.current, self.successor = run, None
        return loser

    def drop(self, run: Run) -> Run | None:
        """Forget a run that has ended or failed; return the one that goes on, if any."""
        if run is self.current:
            self.current, self.successor = self.successor, None
        elif run is self.successor:
            self.successor = None
        return self.current

    def take_all(self) -> list[Run]:
        """Forget all runs and return them."""
        runs = [run for run in (self.current, self.successor) if run is not None]
        self.current = self.successor = None
        return runs
