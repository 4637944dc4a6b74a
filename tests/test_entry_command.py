"""Tests of ``greengage-entry``: settings are validated together, and a stop exits with status 0."""

import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner

from greengagestage.commands._entry_command import main
from greengagestage.commands._entry_settings import ENTRY_SETTINGS, build_entry_settings
from greengagestage.commands._setting_types import SettingsError

from .reactors import choose_address

REQUIRED_TEXTS = {
    "listen": "127.0.0.1:0",
    "agent": "127.0.0.1:4000",
    "platform": "http://10.0.0.1:80/",
    "host": "host-1",
    "failure_domain": "a",
    "fleet_key": "k" * 16,
}
VALID_TEXTS = {setting.name: setting.default for setting in ENTRY_SETTINGS} | REQUIRED_TEXTS

INVALID_TEXTS = {
    "listen": ("localhost:80", "127.0.0.1", "127.0.0.1:70000", "127.0.0.1:x"),
    "agent": ("", "127.0.0.1:0", "[::1]:-1"),
    "platform": ("10.0.0.1:80", "https://10.0.0.1:80", "http://platform:80"),
    "host": ("", "a b"),
    "fleet_key": ("short",),
    "second_fleet_key": ("short",),
    "seed": ("-1", "x", "1.5"),
    "body_limit_bytes": ("0", "1e3"),
    "caller_stall_s": ("0", "nan", "inf", "-1", "x"),
    "drain_notice_s": ("-1",),
    "log_file": ("/", "/nowhere/log"),
}


def test_valid_settings() -> None:
    settings = build_entry_settings(VALID_TEXTS)
    assert settings.platform == "http://10.0.0.1:80"
    assert settings.second_fleet_key is None
    assert build_entry_settings(VALID_TEXTS | {"listen": "[::1]:0"}).listen == "[::1]:0"


@pytest.mark.parametrize(
    ("name", "text"), [(n, t) for n, texts in INVALID_TEXTS.items() for t in texts]
)
def test_invalid_setting_is_reported_with_its_flag(name: str, text: str) -> None:
    with pytest.raises(SettingsError) as caught:
        build_entry_settings(VALID_TEXTS | {name: text})
    (fault,) = caught.value.faults
    assert fault.startswith(f"--{name.replace('_', '-')} ")


def test_all_faults_are_reported_together() -> None:
    result = CliRunner().invoke(main, ["--listen", "x", "--seed", "y"])
    assert result.exit_code == 2
    assert result.output.startswith("4014 SETTINGS_INVALID")
    for flag in ("--listen", "--seed", "--agent", "--platform", "--host", "--fleet-key"):
        assert f"  {flag} " in result.output


def test_settings_are_read_from_environment_variables() -> None:
    result = CliRunner().invoke(main, [], env={"GREENGAGE_SEED": "z", "GREENGAGE_HOST": "h"})
    assert "--seed must be" in result.output
    assert "--host" not in result.output


def test_version() -> None:
    assert "version" in CliRunner().invoke(main, ["--version"]).output


def test_help_lists_every_environment_variable() -> None:
    output = CliRunner().invoke(main, ["--help"]).output.replace("\n", "").replace(" ", "")
    for setting in ENTRY_SETTINGS:
        assert setting.variable in output


@pytest.mark.process
@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_exits_with_status_0(signum: signal.Signals) -> None:
    settings = REQUIRED_TEXTS | {"agent": choose_address(), "drain_notice_s": "0"}
    flags = [x for name, text in settings.items() for x in (f"--{name.replace('_', '-')}", text)]
    command = [sys.executable, "-m", "greengagestage.commands.entry", *flags]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        assert process.stderr is not None
        while b"entry: listening" not in (line := process.stderr.readline()):
            assert line
        process.send_signal(signum)
        output = process.stderr.read()
    assert process.returncode == 0
    assert b"entry: stop ends" in output
