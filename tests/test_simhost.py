"""The simulator's host: as a subprocess where output and exit status count, in process for reading lines."""

import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from heathway import api
from heathway.settings import read_settings
from heathway.simhost import Host, WireError

ROOT = Path(__file__).parents[1]
CONF = {
    "me": 0,
    "replicasOfMe": 2,
    "zone": "north",
    "zones": ["north", "south"],
    "kinds": ["std"],
    "round": 5_000_000,
    "discovery": "push",
    "an unknown key": {"x": 1},
    "requestClasses": [
        {"name": "plain", "effect": "pure", "promise": 400_000_000, "giveUp": 6_000_000_000, "worth": 1},
        {
            "name": "once",
            "effect": "token",
            "group": "cell",
            "window": 7_000_000_000,
            "promise": 1,
            "giveUp": 2,
        },
    ],
    "familyInfo": {"classStretch": [2.5, 2], "classKind": [-1, 0], "reportX0": "free slots"},
    "limits": {"cancel": True, "retryAfter": True, "mostTries": 6, "maxRetryAfter": 2_000_000_000},
    "guarantees": {"answerSlack": 20_000_000, "cold": 20_000_000_000, "startCapacity": 0.2},
}


def create(who: int, conf: object = CONF, seed: int = 7) -> str:
    text = conf if isinstance(conf, str) else json.dumps(conf)
    rows = "".join(f"row\t1\t10.0.0.{i}:5\t{i // 2}\tnorth\t-\tstd\tU\n" for i in range(4))
    return f"create\t{who}\t{seed + who}\t{text}\ndiscovery\t{who}\twarm_copy\t3\t4\n{rows}"


def batch(now: int, *lines: str) -> str:
    return (
        f"round\t{now}\n" + "".join(line if line.endswith("\n") else line + "\n" for line in lines) + "end\n"
    )


def arrival(who: int, job: int, key: str = "44", lane: str = "plain") -> str:
    return f"arrival\t{who}\t{job}\t{lane}\tsomebody\t{key}\t6000000000\t-\t1\t-\t0"


def script() -> str:
    """Input of 300 batches for two dispatchers, with every kind of event that the protocol has."""
    text = [batch(1_000_000), batch(2_000_000, create(0), create(1))]
    now = 2_000_000
    for n in range(300):
        now += 5_000_000
        who = n % 2
        lines = [arrival(who, 1000 + n, str(n % 9))]
        if n % 3 == 0:
            lines.append(f"alarm\t{who}\twake")
        if n % 50 == 7:
            lines.append(f"discovery\t{who}\tincr\t{n}\t1\nrow\t1\t10.0.0.2:5\t1\tnorth\t{now}\tstd\tU")
        if n % 40 == 9:
            lines.append(f"withdrawn\t{who}\t{1000 + n - 2}")
        if n % 11 == 0:
            lines.append(f"reply\t{who}\t{1000 + n - 2}\t0\t10.0.0.1:5\t1\t-\t18500000\t0\tx0:2.1,new:3")
        if n % 13 == 0:
            lines.append(f"note\t{who}\t{1000 + n}\t0\t10.0.0.1:5\t1\t0.5")
            lines.append(f"message\t{who}\t1\taGkgNw==")
            lines.append(f"probe_result\t{who}\t10.0.0.1:5\t0\t1400000\tx0:1")
            lines.append(f"accepted\t{who}\t{1000 + n}\t0\t10.0.0.1:5\t9250000")
        if n == 200:
            lines = ["killed\t1", create(1)]
        text.append(batch(now, *lines))
    return "".join(text)


def run(text: str | bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    data = text if isinstance(text, bytes) else text.encode()
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "heathway.simhost"]
    return subprocess.run(
        command, input=data, capture_output=True, cwd=ROOT, env=env, timeout=60, check=False
    )


def answer(text: str) -> str:
    out = io.BytesIO()
    Host(io.BytesIO(text.encode()), out).run()
    return out.getvalue().decode()


def lines_for(dispatcher: int, text: str) -> list[str]:
    return [line for line in text.splitlines() if line.split("\t")[1:2] == [str(dispatcher)]]


def test_the_same_events_give_the_same_actions_under_any_hash_seed():
    runs = [run(script(), seed) for seed in ("0", "1", "4711")]
    assert {r.returncode for r in runs} == {0}
    assert len({r.stdout for r in runs}) == 1
    assert runs[0].stdout.count(b"transmit") > 10


def test_a_dispatcher_acts_the_same_alone_and_beside_another():
    together = run(script()).stdout.decode()
    lines = script().splitlines()
    kept, is_kept = [], True
    for line in lines:
        parts = line.split("\t")
        if parts[0] not in ("round", "end", "row"):
            is_kept = parts[1] == "0"
        if parts[0] in ("round", "end") or is_kept:
            kept.append(line)
    alone = run("\n".join(kept) + "\n").stdout.decode()
    assert lines_for(0, alone) == lines_for(0, together)
    assert lines_for(0, alone)


def test_an_empty_batch_is_answered():
    assert answer(batch(5)) == "next\n"


def test_a_batch_of_many_jobs_has_one_reply():
    text = answer(batch(1, create(0)) + batch(2, *(arrival(0, n) for n in range(500))))
    assert text.count("next\n") == 2
    assert text.count("transmit\t0\t") == 4


@pytest.mark.parametrize(
    ("lines", "line", "expected"),
    [
        ("nonsense\n", 1, "round"),
        ("round\tsoon\n", 1, "now"),
        (batch(1, "arrival\t0\tx\tplain"), 2, "ref"),
        (batch(1, "arrival\t0\t5"), 2, "lane"),
        (batch(1, "arrival\t0\t5\tplain\t-\tkey\t5\t-\t1\t-\t0"), 2, "routeKey"),
        (batch(1, "arrival\t0\t5\tplain\t-\t1\t-\t-\t1\t-\t0"), 2, "left"),
        (batch(1, "reply\t0\t5\t0\tw\t2\t-\t1\t0\t-"), 2, "last"),
        (batch(1, "reply\t0\t5\t0\tw\t1\t-\t1\t999\t-"), 2, "rc"),
        (batch(1, create(0), "reply\t0\t5\t0\tw\t1\t-\t1\t0\tx0"), 8, "stats"),
        (batch(1, create(0), "reply\t0\t5\t0\tw\t1\t-\t1\t0\tx0:much"), 8, "stats"),
        (batch(1, "create\t0\t5\tnot json"), 2, "conf"),
        (batch(1, "create\t0\t5\t[1]"), 2, "conf"),
        (batch(1, "discovery\t0\tincr\t1\t1\nrow\t1\tw\t0\tz\t-\tstd\tX"), 3, "readiness"),
        (batch(1, "discovery\t0\tsideways\t1\t0"), 2, "how"),
        (batch(1, "discovery\t0\tincr\t1\t2\nrow\t1\tw\t0\tz\t-\tstd\tU"), 4, "row"),
        (batch(1, "message\t0\t1\t%%%"), 2, "payload"),
        (batch(1, "note\t0\t5\t0\tw\t7\t1"), 2, "kind"),
        (batch(1, "hello\t0"), 2, "hello"),
        ("round\t5\narrival", 2, "who"),
        ("round\t5\n", 1, "ended"),
    ],
)
def test_the_error_for_a_malformed_line_names_the_line_and_the_field(lines, line, expected):
    done = run(batch(0) + lines)
    assert done.returncode not in (0, None)
    assert done.stdout == b"next\n"
    message = done.stderr.decode()
    assert message.count("\n") == 1
    assert f"line {line + 2}:" in message
    assert expected in message


def test_bytes_that_are_not_utf8_are_malformed():
    done = run(b"round\t5\nlog\t\xff\n")
    assert done.returncode == 1
    assert b"line 2" in done.stderr


@pytest.mark.parametrize(
    ("change", "key"),
    [
        *[({"replicasOfMe": invalid}, "replicasOfMe") for invalid in (0, -1, "many", True, 1 << 40, None)],
        *[
            ({"requestClasses": [CONF["requestClasses"][0] | invalid]}, f"{next(iter(invalid))}")
            for invalid in (
                {"promise": 0},
                {"promise": -1},
                {"promise": "x"},
                {"worth": -1},
                {"worth": float("nan")},
            )
        ],
        ({"requestClasses": []}, "requestClasses"),
        ({"requestClasses": [{"name": "x"}]}, "effect"),
        ({"requestClasses": [{"name": "x", "effect": "odd"}]}, "effect"),
    ],
)
def test_invalid_settings_are_a_broken_line_that_names_the_key(change, key):
    text = answer(batch(1, create(0, {**CONF, **change})))
    assert text.startswith("broken\t0\t")
    assert key in text


def test_a_missing_key_is_reported_by_name():
    without = {name: value for name, value in CONF.items() if name != "me"}
    assert "settings: me is missing" in answer(batch(1, create(0, without)))


def test_an_exception_in_a_dispatcher_is_a_broken_line(monkeypatch):
    def fail(self, now, events):
        raise IndexError("out of range\nin two lines")

    monkeypatch.setattr("heathway.logic.Dispatcher.handle", fail)
    text = answer(batch(1, create(3)))
    assert text.startswith("broken\t3\tIndexError: out of range in two lines")
    assert text.endswith("next\n")


def test_settings_are_read_into_the_fields_of_the_interface():
    settings = read_settings(CONF)
    plain, once = settings.classes
    assert (plain.effect, plain.stretch, plain.worker_kind) == (api.Effect.SAFE, 2.5, None)
    assert (once.effect, once.group, once.worker_kind) == (api.Effect.KEYED, api.Group.CELL, "std")
    assert settings.answer_slack == 20_000_000
    assert settings.may_cancel
    assert not settings.may_probe


def test_every_action_has_an_output_line():
    sample = [
        (api.Send(1, "w", 5), "transmit\t0\t1\t5\tw\n"),
        (api.Refuse(1, 5), "reject\t0\t1\t5\n"),
        (api.Fail(1), "finish_error\t0\t1\n"),
        (api.CancelAttempt(1, 2), "drop_attempt\t0\t1\t2\n"),
        (api.Probe("w"), "health_check\t0\tw\n"),
        (api.CloseIdle("w"), "drop_conns\t0\tw\n"),
        (api.Subscribe(True), "follow\t0\t1\n"),
        (api.FetchList(), "lookup\t0\n"),
        (api.Tell(None, b"hi"), "share\t0\t-1\taGk=\n"),
        (api.Tell(4, b""), "share\t0\t4\t-\n"),
        (api.SetTimer(9, "t"), "notify_me\t0\t9\tt\n"),
        (api.Log("a\tb"), "log\t0\ta b\n"),
    ]
    from heathway.simhost import _WRITERS

    for action, line in sample:
        assert _WRITERS[type(action)](0, action) == line
    assert len(sample) - 1 == len(_WRITERS)


def test_a_worker_list_with_too_few_rows_is_malformed():
    with pytest.raises(WireError, match="line 4"):
        answer(batch(1, "discovery\t0\tincr\t1\t3\nrow\t1\tw\t0\tz\t-\tstd\tU"))
