"""The configuration and the command line."""

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
GOOD: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:9000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"index": 41, "snapshot": True, "endpoints": []},
    "settings": SETTINGS,
}


def written(tmp_path: Path, raw: object) -> dict[str, str]:
    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    return {"BALANCER_CONFIG": str(path)}


def test_the_environment_goes_before_the_file(tmp_path: Path) -> None:
    environment = written(tmp_path, GOOD) | {"BALANCER_LISTEN": "127.0.0.1:9001"}
    config = load(environment)
    assert (config.name, config.listen, config.sockets) == ("n3", ("127.0.0.1", 9001), 1024)
    assert config.seed == 0x8C1F30D27A5BE964


WRONG: dict[str, tuple[object, str]] = {
    "not JSON": ("{", "not JSON"),
    "no object": ([1], "not an object"),
    "no settings": ({**GOOD, "settings": {}}, "requestClasses is missing"),
    "classes of a wrong form": (
        {**GOOD, "settings": {**SETTINGS, "requestClasses": 7}},
        "requestClasses: expected a list of objects, got 7",
    ),
    "a class without a name": ({**GOOD, "settings": {**SETTINGS, "requestClasses": [{}]}}, "settings: "),
    "settings out of range": (
        {**GOOD, "settings": {**SETTINGS, "round": 0}},
        "settings: round: expected a number from 1",
    ),
    "no listening address": ({**GOOD, "listen": ""}, "listen: missing"),
    "a listening address without a port": ({**GOOD, "listen": "127.0.0.1"}, "listen: not host:port"),
    "a port out of range": ({**GOOD, "discovery": "127.0.0.1:70000"}, "discovery: not host:port"),
    "limits of a wrong form": ({**GOOD, "limits": [1]}, "limits: not an object"),
    "too few sockets": ({**GOOD, "limits": {"sockets": 8}}, "limits.sockets: 8 is too few"),
    "sockets that are no number": ({**GOOD, "limits": {"sockets": "x"}}, "limits.sockets: not a number"),
    "memory that is no number": ({**GOOD, "limits": {"memory_mb": -1}}, "limits.memory_mb: not a number"),
    "nested without end": ("[" * 100_000, "not JSON"),
    "a round without end": ('{"settings": {"requestClasses": [], "me": 1e999}}', "expected a number"),
    "a seed that is no number": ({**GOOD, "seed": "xyz"}, "seed: neither"),
    "a known list of a wrong form": ({**GOOD, "known": [1]}, "known: not an object"),
    "a name that is no text": ({**GOOD, "name": 7}, "name: expected a text, got '7'"),
    "an address that is no text": ({**GOOD, "listen": ["127.0.0.1", 9000]}, "listen: expected a text, got"),
    "routes that are no path": ({**GOOD, "routes": {"file": "x"}}, "routes: expected a text, got"),
    "settings of a wrong form": ({**GOOD, "settings": []}, r"settings: not an object: '\[\]'"),
    "settings of no form": ({**GOOD, "settings": 0}, "settings: not an object: '0'"),
    "limits of no form": ({**GOOD, "limits": False}, "limits: not an object: 'False'"),
    "sockets without a figure": ({**GOOD, "limits": {"sockets": True}}, "limits.sockets: not a number"),
    "sockets without end": ({**GOOD, "limits": {"sockets": float("inf")}}, "limits.sockets: not a number"),
    "memory of less than one": ({**GOOD, "limits": {"memory_mb": 0.5}}, "memory_mb: not a number from 1"),
    "memory that is none": ({**GOOD, "limits": {"memory_mb": float("nan")}}, "memory_mb: not a number"),
    "too few sockets for a door": (
        {**GOOD, "admin": "127.0.0.1:0", "limits": {"sockets": 95}},
        "limits.sockets: 95 is too few; 96 are needed",
    ),
    "a seed that is true": ({**GOOD, "seed": True}, "seed: neither a number nor hexadecimal: 'True'"),
    "a time to connect that is none": (
        {**GOOD, "settings": {**SETTINGS, "limits": {"connectTimeout": 0}}},
        "settings.limits.connectTimeout: not a number from 1 to 1e15: '0'",
    ),
    "an idle time that is text": (
        {**GOOD, "settings": {**SETTINGS, "limits": {"connIdle": "15 s"}}},
        "settings.limits.connIdle: not a number from 1 to 1e15: '15 s'",
    ),
    "permissions of a wrong form": (
        {**GOOD, "settings": {**SETTINGS, "limits": [1]}},
        r"settings: limits: expected an object, got \[1\]",
    ),
    "a start capacity of none": (
        {**GOOD, "settings": {**SETTINGS, "guarantees": {"startCapacity": 0}}},
        "settings: guarantees.startCapacity: expected a number above 0 to 1, got 0",
    ),
    "a known list without entries": ({**GOOD, "known": {"index": 4}}, "known: no object with endpoints"),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_wrong_configuration_is_named_plainly(name: str, tmp_path: Path) -> None:
    raw, text = WRONG[name]
    with pytest.raises(ConfigError, match=text) as caught:
        load(written(tmp_path, raw))
    assert str(caught.value).startswith(f"{tmp_path}/config.json: ")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("variable", "value", "text"),
    [
        ("BALANCER_LISTEN", "9000", "listen: not host:port: '9000'"),
        ("BALANCER_LISTEN", "127.0.0.1:9\n", "listen: not host:port"),
        ("BALANCER_DISCOVERY", "127.0.0.1:0", "discovery: not host:port: '127.0.0.1:0'"),
        ("BALANCER_ADMIN", "localhost", "admin: not host:port: 'localhost'"),
        ("BALANCER_TRACE", "yes", "BALANCER_TRACE: neither 0 nor 1: 'yes'"),
    ],
)
def test_a_wrong_variable_is_named_plainly(variable: str, value: str, text: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=text) as caught:
        load({**written(tmp_path, GOOD), variable: value})
    assert "\n" not in str(caught.value)


def test_a_start_with_settings_that_cannot_be_used_is_refused_in_one_line(tmp_path: Path) -> None:
    wrong = {**GOOD, "settings": {**SETTINGS, "limits": {**SETTINGS["limits"], "mostTries": 0}}}
    for command in ("serve", "check-config"):
        done = run(command, **written(tmp_path, wrong))
        assert (done.returncode, done.stdout) == (2, "")
        assert done.stderr == (
            f"ironbarrow: {tmp_path}/config.json: settings: limits.mostTries: "
            "expected a number from 1 to 1000000, got 0\n"
        )


def run(*words: str, **environment: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "ironbarrow", *words],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_the_command_line_says_what_is_wrong_and_exits_with_an_error(tmp_path: Path) -> None:
    for words in (["serve"], ["check-config"]):
        done = run(*words)
        assert (done.returncode, done.stdout) == (2, "")
        assert done.stderr == "ironbarrow: BALANCER_CONFIG is not set\n"
    in_use = run("serve", **written(tmp_path, {**GOOD, "listen": "203.0.113.1:9"}))
    assert in_use.returncode == 2
    assert "cannot listen on 203.0.113.1:9" in in_use.stderr
    assert "Traceback" not in in_use.stderr


def test_the_command_line_tells_version_and_configuration(tmp_path: Path) -> None:
    assert run("version").stdout.startswith("ironbarrow ")
    done = run("check-config", **written(tmp_path, GOOD))
    assert done.stdout == "n3: listens on 127.0.0.1:9000; classes: map, book\n"


@contextmanager
def serving(tmp_path: Path, raw: dict[str, Any]) -> Iterator["subprocess.Popen[str]"]:
    process = subprocess.Popen(
        [sys.executable, "-m", "ironbarrow", "serve"],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "BALANCER_DISCOVERY": "127.0.0.1:1", **written(tmp_path, raw)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        logged(process, '"serving"')
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()


def logged(process: "subprocess.Popen[str]", text: str) -> str:
    assert process.stderr is not None
    line = next((line for line in process.stderr if text in line), None)
    assert line is not None, f"it ended without {text} in its log"
    return line


UNUSED = {**GOOD, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}


def test_sigterm_ends_the_program_with_0(tmp_path: Path) -> None:
    with serving(tmp_path, UNUSED) as process:
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0
        assert time.monotonic() - started > 0.4  # it went on accepting for a while


def test_sighup_takes_the_replaced_file_and_keeps_what_runs_if_it_cannot(tmp_path: Path) -> None:
    # danger: unhandled, the signal ends the program; and the environment still names the old discovery
    # service
    with serving(tmp_path, UNUSED) as process, listen(("127.0.0.1", 0)) as discovery:
        written(tmp_path, "{")
        process.send_signal(signal.SIGHUP)
        assert "not JSON" in logged(process, "the running configuration stays")
        host, port = discovery.getsockname()
        written(tmp_path, {**UNUSED, "discovery": f"{host}:{port}", "name": "other"})
        process.send_signal(signal.SIGHUP)
        assert '"waits_for_start": ["name"]' in logged(process, '"reloaded"')
        discovery.settimeout(20)
        with discovery.accept()[0] as connection:
            assert connection.recv(64).startswith(b"GET /api/targets HTTP")
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            assert process.wait(60) == 0
