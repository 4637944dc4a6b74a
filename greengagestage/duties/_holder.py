"""What the parts that perform a duty need to know about its lease."""

from typing import Protocol

from greengagestage.catalog import Duty


class DutyHolder(Protocol):
    """Tells whether this host may act in a duty now."""

    def get_token(self, duty: Duty) -> int | None:
        """Return the fencing token for a call that is sent now.

        It is asked again immediately before each call. None unless this host certainly holds the
        lease of the duty at this moment.
        """
