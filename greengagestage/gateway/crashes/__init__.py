"""What this host and others know of requests that crash upstreams."""

from ._crash_knowledge import CrashKnowledge
from ._lost_answer import LostAnswer
from ._quarantine import Quarantine

__all__ = [
    "CrashKnowledge",
    "LostAnswer",
    "Quarantine",
]
