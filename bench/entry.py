"""An entry process whose policy the bench chooses: ``python -m bench.entry``.

The environment's ``GREENGAGE_BENCH_POLICY`` names the policy; every flag is the entry's own.
"""
