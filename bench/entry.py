"""An entry process with a selectable policy: ``python -m bench.entry``.

The environment variable ``GREENGAGE_BENCH_POLICY`` names the policy. The flags are those of the
entry process.
"""

import os
import sys

import click

from greengagestage.commands._entry_command import run
from greengagestage.commands._entry_settings import ENTRY_SETTINGS, build_entry_settings
from greengagestage.commands._setting_types import add_setting_options
from greengagestage.entry import RoutingPolicy

from ._baselines import Balancing, BaselinePolicy
from ._policies import POLICY_VARIABLE, PolicyName


def build_policy(name: PolicyName) -> RoutingPolicy | None:
    """Return a baseline policy, or None for the router's own policy."""
    match name:
        case PolicyName.GREENGAGE:
            return None
        case PolicyName.ROUND_ROBIN:
            return BaselinePolicy(balancing=Balancing.ROUND_ROBIN)
        case PolicyName.LEAST_IN_FLIGHT:
            return BaselinePolicy(balancing=Balancing.LEAST_IN_FLIGHT)


@click.command()
@add_setting_options(ENTRY_SETTINGS)
def main(**texts: str) -> None:
    """Serve callers under the policy that the environment names."""
    settings = build_entry_settings(texts)
    policy = build_policy(PolicyName(os.environ[POLICY_VARIABLE]))
    with click.open_file(texts["log_file"], "ab") as log_file:
        sys.exit(run(settings, log_file, policy))


if __name__ == "__main__":
    main()
