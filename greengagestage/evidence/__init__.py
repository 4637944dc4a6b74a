"""What a host may conclude from its copies of what others write in the store."""

from ._copies import MAX_GAP_S, REWRITE_S, CopyEvidence

__all__ = ["MAX_GAP_S", "REWRITE_S", "CopyEvidence"]
