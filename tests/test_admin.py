"""The operators' door: calls, figures, bans, callers that stall, and what outlasts the process."""

import errno
import fcntl
import json
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway import api
from ironbarrow.admin import door
from ironbarrow.admin.bans import Bans
from ironbarrow.admin.keep import BanFile
from ironbarrow.core.metrics import OUTCOMES, Metrics
from tests.scenario import Harness, answer, call_back, job, post

ACCEPTED = answer(202)


def call(path: str, method: str = "GET") -> str:
    return f"{method} /ops/{path} HTTP/1.1\\r\\nHost: o\\r\\n\\r\\n"


def change(what: str, worker: str) -> str:
    return post(worker, f"/ops/workers/{what}")


def stage(**config: Any) -> Harness:
    return Harness(admin=("127.0.0.1", 0), **config)


CALLS = {
    "ready": f"o1 send {call('readiness')}\no1 expect HTTP/1.1 200 .*ready\no1 ended",
    "unknown call": f"o1 send {call('other')}\no1 expect HTTP/1.1 404\no1 ended",
    "wrong method": f"o1 send {call('stats', 'POST')}\no1 expect HTTP/1.1 4",
    "unknown worker": f"o1 send {change('down', 'p9')}\no1 expect HTTP/1.1 404 .*was ever on the list",
    "no id": f"o1 send {change('down', '')}\no1 expect HTTP/1.1 400",
    "two lines": f"o1 send {change('up', 'p1 p2')}\no1 expect HTTP/1.1 404",
    "too long": f"o1 send {change('down', 'x' * 2000)}\no1 expect HTTP/1.1 400",
    "far too long": f"o1 send {change('down', 'x' * 5000)}\no1 expect HTTP/1.1 413",
    "no HTTP": "o1 send hello\\r\\n\\r\\n\no1 expect HTTP/1.1 400",
    "half a call": "o1 send GET /ops/sta\no1 expect HTTP/1.1 408\no1 ended",
    "not ready once it stops": f"""
        c1 send {job()}
        p1 expect in$
        stop
        o1 send {call("readiness")}
        o1 expect HTTP/1.1 503
        p1 send {ACCEPTED}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        exits
        """,
    "figures": f"""
        c1 send {job()}
        p1 expect in$
        o1 send {call("stats")}
        o1 expect "map",outcome="served"}} 0.*app_attempts{{class="map"}} 1.*app_in_flight 1
        p1 send {ACCEPTED}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        o2 send {call("stats")}
        o2 expect "map",outcome="served"}} 1.*app_in_flight 0\\napp_workers_known 2\\napp_workers_excluded 0
        """,
    "a banned worker gets nothing more, whatever the list says, until the call back": f"""
        o1 send {change("down", "p1")}
        o1 expect HTTP/1.1 200
        o2 send {change("down", "p1")}
        o2 expect HTTP/1.1 200
        o3 send {call("stats")}
        o3 expect app_workers_excluded 1
        c1 send {job()}
        p2 expect X-Request-ID: j1
        p2 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="out")}
        c1 expect HTTP/1.1 200
        o4 send {change("up", "p1")}
        o4 expect HTTP/1.1 200
        c1 send {job("j3")}
        p1 expect X-Request-ID: j3
        """,
}


@pytest.mark.parametrize("name", CALLS)
def test_calls_of_operators(name: str) -> None:
    stage().run(CALLS[name])


def test_callers_that_stall_are_never_in_the_way_of_the_next() -> None:
    played = stage()
    stalled = "\n".join(f"o{n} send {'GET /ops' if n % 2 else ''}" for n in range(100, 100 + 4 * door.MOST))
    played.run(f"{stalled}\no1 send {call('stats')}\no1 expect HTTP/1.1 200 .*app_in_flight")


def test_without_an_address_there_is_no_door() -> None:
    assert Harness().dispatcher.admin_listener is None


@given(st.lists(st.tuples(st.sampled_from(["a", 'b"\n']), st.sampled_from([*OUTCOMES, "attempt"]))))
@settings(max_examples=50, deadline=None)
def test_figures_are_the_counts_of_what_was_told(events: list[tuple[str, str]]) -> None:
    figures = Metrics(("a", 'b"\n'))
    for name, what in events:
        if what == "attempt":
            figures.attempt_written(name)
        else:
            figures.job_ended(name, what)
    shown = dict(line.rsplit(" ", 1) for line in figures.render(in_flight=3).splitlines())
    for name, label in (("a", "a"), ('b"\n', 'b\\"\\n')):
        for outcome in OUTCOMES:
            key = f'app_requests{{class="{label}",outcome="{outcome}"}}'
            assert int(shown.pop(key)) == events.count((name, outcome))
        assert int(shown.pop(f'app_attempts{{class="{label}"}}')) == events.count((name, "attempt"))
    assert shown == {"app_in_flight": "3"}


UP, DRAINING, GONE = api.WorkerState.UP, api.WorkerState.DRAINING, api.WorkerState.GONE


@given(
    st.lists(
        st.one_of(
            st.tuples(st.sampled_from(["ban", "lift"]), st.sampled_from("abc")),
            st.tuples(st.sampled_from([UP, DRAINING, GONE]), st.sampled_from("abc")),
            st.tuples(st.just("whole"), st.sets(st.sampled_from("abc"))),
        )
    )
)
@settings(max_examples=200, deadline=None)
def test_the_stricter_of_ban_and_list_is_told_after_any_history(steps: list[tuple[Any, Any]]) -> None:
    bans, told, listed, banned, ever = Bans(), {}, {}, set(), set()
    for what, who in steps:
        if what in ("ban", "lift"):
            banned = banned | {who} if what == "ban" else banned - {who}
            news = bans.set(frozenset(banned))
        else:
            if what == "whole":
                listed, entries, kind = dict.fromkeys(who, UP), [(w, UP) for w in who], api.ListKind.FULL
            else:
                listed[who], entries, kind = what, [(who, what)], api.ListKind.CHANGES
            ever |= {w for w, _ in entries}
            made = tuple(api.WorkerEntry(w, state=s) for w, s in entries)
            news = bans.take_list(api.WorkerList(kind, made))
            told = {} if kind is api.ListKind.FULL else told
        told |= {entry.worker: entry.state for entry in news.entries} if news else {}
        for worker, state in listed.items():
            expected = DRAINING if state is UP and worker in banned else state
            assert told[worker] is expected
        assert all(bans.knows(w) is (w in ever) for w in "abc")


def test_bans_outlast_the_process_and_are_shared_with_the_next_one(tmp_path: Path) -> None:
    old = BanFile(tmp_path, "n1")
    assert old.change("p1", True) == {"p1"}
    new = BanFile(tmp_path, "n1")
    assert new.read() == {"p1"}
    assert BanFile(tmp_path, "n2").read() == frozenset()
    new.change("p2", True)
    assert old.changed()
    assert old.read() == {"p1", "p2"}
    assert not old.changed()


def test_a_change_made_while_the_file_is_locked_is_written_later(tmp_path: Path) -> None:
    old, new = BanFile(tmp_path, "n1"), BanFile(tmp_path, "n1")
    old.change("p0", True)
    with open(next(tmp_path.glob("*.json")).with_suffix(".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        assert old.change("p1", True) == {"p0", "p1"}
        assert old.change("p0", False) == {"p1"}
        assert not old.settle()
        assert new.read() == {"p0"}
    new.change("p2", True)
    assert old.read() == {"p1", "p2"}  # both what is written and what is not
    assert old.settle()
    assert new.read() == BanFile(tmp_path, "n1").read() == {"p1", "p2"}


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"version": 2}', '{"version": 1, "banned": ["p1"], "crc": 1}', '{"version":1}']
)
def test_a_torn_or_foreign_file_is_passed_over_and_replaced_by_the_next_change(
    tmp_path: Path, text: str
) -> None:
    BanFile(tmp_path, "n1").change("p0", True)
    (path,) = tmp_path.glob("*.json")
    path.write_text(text)
    kept = BanFile(tmp_path, "n1")
    assert kept.read() == frozenset()
    kept.change("p1", True)
    assert json.loads(path.read_text())["banned"] == ["p1"]


def failing(monkeypatch: pytest.MonkeyPatch, call: str, *errors: int) -> list[int]:
    """Lets a call of ``os`` fail with these errors, in turn; those that are still to come."""
    real, left = getattr(os, call), list(errors)

    def call_or_fail(*args: Any, **more: Any) -> Any:
        if left:
            number = left.pop(0)
            raise OSError(number, os.strerror(number))
        return real(*args, **more)

    monkeypatch.setattr(os, call, call_or_fail)
    return left


@pytest.mark.parametrize("call", ["open", "write", "fsync", "replace"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_yes_to_an_operator_is_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, error: int
) -> None:
    """Guards against a ban that was said yes to and is forgotten by the next process (bcef66)."""
    played = stage(folder=tmp_path)
    left = failing(monkeypatch, call, error)
    for line in (f"o1 send {change('down', 'p1')}", "o1 expect HTTP/1.1 500 .*not stored yet"):
        played.step(line)
    assert left == []
    played.step(f"c1 send {job()}")
    played.step("p2 expect in$")  # it is in force all the same
    for line in (f"o2 send {change('down', 'p1')}", "o2 expect HTTP/1.1 200"):
        played.step(line)
    assert BanFile(tmp_path, "n1").read() == {"p1"}
    played.close()
    assert not [path for path in tmp_path.iterdir() if path.suffix not in (".json", ".lock")]


def test_a_file_that_can_not_be_read_for_a_moment_keeps_its_bans(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed read that makes a process forget bans, and wipe them (bcef66)."""
    BanFile(tmp_path, "n1").change("p1", True)
    left = failing(monkeypatch, "stat", errno.EIO, errno.EIO)
    kept = BanFile(tmp_path, "n1")
    assert kept.read() == frozenset()
    kept.change("p2", True)
    assert left == [] and not kept.is_stored
    assert kept.changed()
    assert kept.read() == {"p1", "p2"}
    assert kept.settle()
    assert BanFile(tmp_path, "n1").read() == {"p1", "p2"}


def test_a_write_that_a_kill_cut_off_leaves_the_file_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a torn file that hides the bans before it (bcef66)."""
    BanFile(tmp_path, "n1").change("p1", True)
    real = os.write

    def torn(file: int, data: bytes) -> int:
        real(file, data[: len(data) // 2])
        raise KeyboardInterrupt  # the process ends here

    monkeypatch.setattr(os, "write", torn)
    with pytest.raises(KeyboardInterrupt):
        BanFile(tmp_path, "n1").change("p2", True)
    monkeypatch.undo()
    assert BanFile(tmp_path, "n1").read() == {"p1"}


def test_where_nothing_can_be_written_bans_hold_in_the_process(tmp_path: Path) -> None:
    for folder in (None, tmp_path / "missing"):
        kept = BanFile(folder, "n1")
        assert kept.change("p1", True) == {"p1"}
        assert kept.change("p2", True) == {"p1", "p2"}
