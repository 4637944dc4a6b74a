"""Benchmarks that compare the router's policy with baselines and measure its cost."""
