"""What duties need of the link to the other hosts."""

from typing import Protocol

from greengagestage.ids import HostId

from ._messages import DutyBody


class DutyLink(Protocol):
    """Sends messages about duties, which can be lost."""

    @property
    def rank(self) -> int:
        """Position of this host among all hosts; 0 is the first."""

    def send_duty(self, host: HostId, body: DutyBody) -> None:
        """Send a message to one host, if it is known."""

    def broadcast_duty(self, body: DutyBody) -> None:
        """Send a message to all other hosts."""
