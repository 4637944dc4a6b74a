"""Experiments that measure the policy beside its baselines."""
