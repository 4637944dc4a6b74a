"""What this host and others know of requests that crash upstreams."""

from ._crash_knowledge import CrashKnowledge
from ._crash_watch import LostAnswer
from ._quarantine import Quarantine

__all__ = [
    "CrashKnowledge",
    "LostAnswer",
    "Quarantine",
]
