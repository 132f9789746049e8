"""The configuration, and the commands serve, check-config and version as processes."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from ironbarrow.config.loader import ConfigError, load
from ironbarrow.runtime.sockets import listen
from tests.scenario import SETTINGS

ROOT = Path(__file__).parents[1]
VALID: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"index": 41, "snapshot": True, "endpoints": []},
    "settings": SETTINGS,
}


def write_config(tmp_path: Path, raw: object) -> dict[str, str]:
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return {"BALANCER_CONFIG": str(path)}


def test_the_environment_takes_precedence_over_the_file(tmp_path: Path) -> None:
    environment = write_config(tmp_path, VALID) | {"BALANCER_LISTEN": "127.0.0.1:9001"}
    config = load(environment)
    assert (config.name, config.listen, config.sockets) == ("n3", ("127.0.0.1", 9001), 1024)
    assert config.seed == 0x8C1F30D27A5BE964


INVALID: dict[str, tuple[object, str]] = {
    "not JSON": ("{", "not valid JSON"),
    "not an object": ([1], "expected a JSON object"),
    "no settings": ({**VALID, "settings": {}}, "requestClasses is missing"),
    "classes that are not a list": (
        {**VALID, "settings": {**SETTINGS, "requestClasses": 7}},
        "requestClasses: expected a list of objects, got 7",
    ),
    "a class without a name": ({**VALID, "settings": {**SETTINGS, "requestClasses": [{}]}}, "settings: "),
    "settings out of range": (
        {**VALID, "settings": {**SETTINGS, "round": 0}},
        "settings: round: expected a number from 1",
    ),
    "no listening address": ({**VALID, "listen": ""}, "listen: missing"),
    "a listening address without a port": ({**VALID, "listen": "127.0.0.1"}, "listen: not host:port"),
    "a port out of range": ({**VALID, "discovery": "127.0.0.1:70000"}, "discovery: not host:port"),
    "limits that are a list": ({**VALID, "limits": [1]}, "limits: expected an object"),
    "too few sockets": ({**VALID, "limits": {"sockets": 8}}, "limits.sockets: 8 is too few"),
    "sockets that are not a number": (
        {**VALID, "limits": {"sockets": "x"}},
        "limits.sockets: expected a number",
    ),
    "negative memory": ({**VALID, "limits": {"memory_mb": -1}}, "limits.memory_mb: expected a number"),
    "too deeply nested": ("[" * 100_000, "not valid JSON"),
    "an infinite number": ('{"settings": {"requestClasses": [], "me": 1e999}}', "expected a number"),
    "a seed that is not hexadecimal": (
        {**VALID, "seed": "xyz"},
        "seed: expected an integer or a hexadecimal string, got 'xyz'",
    ),
    "a known list that is not an object": ({**VALID, "known": [1]}, "known: expected an object"),
    "a name that is not a string": ({**VALID, "name": 7}, "name: expected a string, got '7'"),
    "an address that is not a string": (
        {**VALID, "listen": ["127.0.0.1", 9000]},
        "listen: expected a string, got",
    ),
    "routes that are not a path": ({**VALID, "routes": {"file": "x"}}, "routes: expected a string, got"),
    "settings that are a list": ({**VALID, "settings": []}, r"settings: expected an object, got '\[\]'"),
    "settings that are a number": ({**VALID, "settings": 0}, "settings: expected an object, got '0'"),
    "limits that are a boolean": ({**VALID, "limits": False}, "limits: expected an object, got 'False'"),
    "sockets that are a boolean": (
        {**VALID, "limits": {"sockets": True}},
        "limits.sockets: expected a number",
    ),
    "infinite sockets": ({**VALID, "limits": {"sockets": float("inf")}}, "limits.sockets: expected a number"),
    "memory of less than one": (
        {**VALID, "limits": {"memory_mb": 0.5}},
        "memory_mb: expected a number from 1",
    ),
    "memory that is NaN": ({**VALID, "limits": {"memory_mb": float("nan")}}, "memory_mb: expected a number"),
    "too few sockets for an operators' address": (
        {**VALID, "admin": "127.0.0.1:0", "limits": {"sockets": 95}},
        "limits.sockets: 95 is too few; at least 96 are needed",
    ),
    "a seed that is a boolean": (
        {**VALID, "seed": True},
        "seed: expected an integer or a hexadecimal string, got 'True'",
    ),
    "a connect timeout of 0": (
        {**VALID, "settings": {**SETTINGS, "limits": {"connectTimeout": 0}}},
        "settings.limits.connectTimeout: expected a number from 1 to 1e15, got '0'",
    ),
    "an idle time with a unit": (
        {**VALID, "settings": {**SETTINGS, "limits": {"connIdle": "15 s"}}},
        "settings.limits.connIdle: expected a number from 1 to 1e15, got '15 s'",
    ),
    "limits of the settings that are a list": (
        {**VALID, "settings": {**SETTINGS, "limits": [1]}},
        r"settings: limits: expected an object, got \[1\]",
    ),
    "a start capacity of 0": (
        {**VALID, "settings": {**SETTINGS, "guarantees": {"startCapacity": 0}}},
        "settings: guarantees.startCapacity: expected a number above 0 to 1, got 0",
    ),
    "a known list without entries": (
        {**VALID, "known": {"index": 4}},
        "known: expected an object with a list of endpoints",
    ),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_is_refused_with_a_message_that_names_it(name: str, tmp_path: Path) -> None:
    raw, text = INVALID[name]
    with pytest.raises(ConfigError, match=text) as caught:
        load(write_config(tmp_path, raw))
    assert str(caught.value).startswith(f"{tmp_path}/config.json: ")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("variable", "value", "text"),
    [
        ("BALANCER_LISTEN", "9000", "listen: not host:port: '9000'"),
        ("BALANCER_LISTEN", "127.0.0.1:9\n", "listen: not host:port"),
        ("BALANCER_DISCOVERY", "127.0.0.1:0", "discovery: not host:port: '127.0.0.1:0'"),
        ("BALANCER_ADMIN", "localhost", "admin: not host:port: 'localhost'"),
        ("BALANCER_TRACE", "yes", "BALANCER_TRACE: expected 0 or 1, got 'yes'"),
    ],
)
def test_an_invalid_variable_is_refused_with_a_message_that_names_it(
    variable: str, value: str, text: str, tmp_path: Path
) -> None:
    with pytest.raises(ConfigError, match=text) as caught:
        load({**write_config(tmp_path, VALID), variable: value})
    assert "\n" not in str(caught.value)


def test_invalid_settings_are_reported_in_one_line(tmp_path: Path) -> None:
    invalid = {**VALID, "settings": {**SETTINGS, "limits": {**SETTINGS["limits"], "mostTries": 0}}}
    for command in ("serve", "check-config"):
        completed = run_command(command, **write_config(tmp_path, invalid))
        assert (completed.returncode, completed.stdout) == (2, "")
        assert completed.stderr == (
            f"ironbarrow: {tmp_path}/config.json: settings: limits.mostTries: "
            "expected a number from 1 to 1000000, got 0\n"
        )


def run_command(*arguments: str, **environment: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "ironbarrow", *arguments],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_commands_report_a_configuration_error_and_exit_with_status_2(tmp_path: Path) -> None:
    for arguments in (["serve"], ["check-config"]):
        completed = run_command(*arguments)
        assert (completed.returncode, completed.stdout) == (2, "")
        assert completed.stderr == "ironbarrow: BALANCER_CONFIG is not set\n"
    unavailable = run_command("serve", **write_config(tmp_path, {**VALID, "listen": "203.0.113.1:9"}))
    assert unavailable.returncode == 2
    assert "cannot listen on 203.0.113.1:9" in unavailable.stderr
    assert "Traceback" not in unavailable.stderr


def test_version_and_check_config_print_a_summary(tmp_path: Path) -> None:
    assert run_command("version").stdout.startswith("ironbarrow ")
    completed = run_command("check-config", **write_config(tmp_path, VALID))
    assert completed.stdout == "n3: listens on 127.0.0.1:9000; classes: map, book\n"


@contextmanager
def serving(tmp_path: Path, raw: dict[str, Any]) -> Iterator["subprocess.Popen[str]"]:
    process = subprocess.Popen(
        [sys.executable, "-m", "ironbarrow", "serve"],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "BALANCER_DISCOVERY": "127.0.0.1:1", **write_config(tmp_path, raw)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        wait_for_log(process, '"serving"')
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


def wait_for_log(process: "subprocess.Popen[str]", text: str) -> str:
    assert process.stderr is not None
    line = next((line for line in process.stderr if text in line), None)
    assert line is not None, f"the process ended without {text} in its log"
    return line


# listens on a free port; nothing answers at the address of the discovery service
WITHOUT_DISCOVERY = {**VALID, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}


def test_sigterm_ends_the_program_with_status_0(tmp_path: Path) -> None:
    with serving(tmp_path, WITHOUT_DISCOVERY) as process:
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
        assert time.monotonic() - started > 0.4  # it accepts connections for a while longer


def test_sighup_applies_the_new_file_or_keeps_the_running_configuration(tmp_path: Path) -> None:
    # Without a handler, the signal would end the program. The environment still has the old address of the
    # discovery service, so the file has to take precedence.
    with serving(tmp_path, WITHOUT_DISCOVERY) as process, listen(("127.0.0.1", 0)) as discovery:
        write_config(tmp_path, "{")
        process.send_signal(signal.SIGHUP)
        assert "not valid JSON" in wait_for_log(process, "the running configuration stays")
        host, port = discovery.getsockname()
        write_config(tmp_path, {**WITHOUT_DISCOVERY, "discovery": f"{host}:{port}", "name": "other"})
        process.send_signal(signal.SIGHUP)
        assert '"waits_for_start": ["name"]' in wait_for_log(process, '"reloaded"')
        discovery.settimeout(20)
        with discovery.accept()[0] as connection:
            assert connection.recv(64).startswith(b"GET /api/targets HTTP")
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            assert process.wait(60) == 0
