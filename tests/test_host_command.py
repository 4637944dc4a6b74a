"""Tests of the command ``greengage-host``: settings check, reload and stop by signal."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from greengagestage.commands._host_command import EXIT_INVALID_SETTINGS, main

from .reactors import choose_address

SETTINGS = """\
Node=host-1
Ip=127.0.0.1
Zone=a
Listen.Front={callers}
Listen.Ready={readiness}
InternalPortRange={peers},{peers}
Bounds.GracePeriodS=8
Platform.Address=127.0.0.1:9
"""


def write_settings(directory: Path) -> Path:
    path = directory / "settings.conf"
    path.write_text(
        SETTINGS.format(
            callers=choose_address(),
            readiness=choose_address(),
            peers=choose_address().rpartition(":")[2],
        )
    )
    return path


def test_valid_settings_are_reported_as_valid(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["--settings", str(write_settings(tmp_path)), "--check"])
    assert result.exit_code == 0
    assert "host-1 are valid" in result.output


@pytest.mark.parametrize("text", ["", "Node=x\nIp=127.0.0.1\n", "\xff"])
def test_faulty_settings_are_reported_with_the_result_code(tmp_path: Path, text: str) -> None:
    path = tmp_path / "settings.conf"
    path.write_text(text, encoding="latin-1")
    result = CliRunner().invoke(main, ["--settings", str(path), "--check"])
    assert result.exit_code == EXIT_INVALID_SETTINGS
    assert "4014 SETTINGS_INVALID" in result.output


def test_a_missing_settings_file_is_reported(tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["--settings", str(tmp_path / "none"), "--check"])
    assert result.exit_code == EXIT_INVALID_SETTINGS


@pytest.mark.process
def test_sigterm_exits_with_status_0_and_sighup_reloads_settings(tmp_path: Path) -> None:
    path = write_settings(tmp_path)
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "greengagestage.commands.host", "--settings", str(path)],
            stdout=output,
        )
    wait_for(log, b"host: started")
    path.write_text(path.read_text().replace("GracePeriodS=8", "GracePeriodS=9"))
    process.send_signal(signal.SIGHUP)
    wait_for(log, b"settings: changed")
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    assert b"host: stopped" in log.read_bytes()


# Guards against a reload that ends a process which still starts.
@pytest.mark.process
def test_sighup_during_the_imports_does_not_end_the_process(tmp_path: Path) -> None:
    importing = tmp_path / "importing"
    # Stands in for the first large package, and gives the test time to send the signal.
    (tmp_path / "click.py").write_text(
        "import pathlib, sys, time\n"
        f"pathlib.Path({str(importing)!r}).write_text('click')\n"
        "time.sleep(0.5)\n"
        "sys.exit(7)\n"
    )
    default_action = "import os, signal, sys; signal.signal(signal.SIGHUP, signal.SIG_DFL)"
    process = subprocess.Popen(
        [sys.executable, "-c", f"{default_action}; os.execv(sys.executable, sys.argv[1:])"]
        + [sys.executable, "-m", "greengagestage.commands.host"],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
    )
    wait_until_exists(importing)
    process.send_signal(signal.SIGHUP)
    assert process.wait(10) == 7


def wait_until_exists(path: Path) -> None:
    end_s = time.monotonic() + 10
    while not path.exists():
        assert time.monotonic() < end_s
        time.sleep(0.02)


def wait_for(log: Path, text: bytes) -> None:
    end_s = time.monotonic() + 10
    while text not in log.read_bytes():
        assert time.monotonic() < end_s, log.read_bytes()
        time.sleep(0.02)
