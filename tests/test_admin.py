"""The operators' HTTP server: requests, metrics, stalled connections, and how bans are stored."""

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
from ironbarrow.admin import server
from ironbarrow.admin.ban_file import BanFile
from ironbarrow.admin.bans import Bans
from ironbarrow.core.metrics import OUTCOMES, Metrics
from tests.scenario import Harness, answer, call_back, job, post

ACCEPTED = answer(202)


def ops_request(path: str, method: str = "GET") -> str:
    return f"{method} /ops/{path} HTTP/1.1\\r\\nHost: o\\r\\n\\r\\n"


def ban_request(action: str, worker: str) -> str:
    return post(worker, f"/ops/workers/{action}")


def admin_harness(**config: Any) -> Harness:
    return Harness(admin=("127.0.0.1", 0), **config)


REQUESTS = {
    "ready": f"o1 send {ops_request('readiness')}\no1 expect HTTP/1.1 200 .*ready\no1 ended",
    "unknown path": f"o1 send {ops_request('other')}\no1 expect HTTP/1.1 404\no1 ended",
    "wrong method": f"o1 send {ops_request('stats', 'POST')}\no1 expect HTTP/1.1 4",
    "unknown worker": f"o1 send {ban_request('down', 'p9')}\no1 expect HTTP/1.1 404 .*was ever on the list",
    "no id": f"o1 send {ban_request('down', '')}\no1 expect HTTP/1.1 400",
    "two ids": f"o1 send {ban_request('up', 'p1 p2')}\no1 expect HTTP/1.1 404",
    "too long": f"o1 send {ban_request('down', 'x' * 2000)}\no1 expect HTTP/1.1 400",
    "far too long": f"o1 send {ban_request('down', 'x' * 5000)}\no1 expect HTTP/1.1 413",
    "not HTTP": "o1 send hello\\r\\n\\r\\n\no1 expect HTTP/1.1 400",
    "incomplete request": "o1 send GET /ops/sta\no1 expect HTTP/1.1 408\no1 ended",
    "not ready once it stops": f"""
        c1 send {job()}
        p1 expect in$
        stop
        o1 send {ops_request("readiness")}
        o1 expect HTTP/1.1 503
        p1 send {ACCEPTED}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        exits
        """,
    "metrics": f"""
        c1 send {job()}
        p1 expect in$
        o1 send {ops_request("stats")}
        o1 expect "map",outcome="served"}} 0.*app_attempts{{class="map"}} 1.*app_in_flight 1
        p1 send {ACCEPTED}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        o2 send {ops_request("stats")}
        o2 expect "map",outcome="served"}} 1.*app_in_flight 0\\napp_workers_known 2\\napp_workers_excluded 0
        """,
    "a banned worker gets no job until its ban is lifted": f"""
        o1 send {ban_request("down", "p1")}
        o1 expect HTTP/1.1 200
        o2 send {ban_request("down", "p1")}
        o2 expect HTTP/1.1 200
        o3 send {ops_request("stats")}
        o3 expect app_workers_excluded 1
        c1 send {job()}
        p2 expect X-Request-ID: j1
        p2 send {ACCEPTED}
        c2 send {call_back("done", source="p2", result="out")}
        c1 expect HTTP/1.1 200
        o4 send {ban_request("up", "p1")}
        o4 expect HTTP/1.1 200
        c1 send {job("j3")}
        p1 expect X-Request-ID: j3
        """,
}


@pytest.mark.parametrize("name", REQUESTS)
def test_operator_requests(name: str) -> None:
    admin_harness().run(REQUESTS[name])


def test_stalled_connections_do_not_block_the_next_request() -> None:
    harness = admin_harness()
    stalled = "\n".join(
        f"o{n} send {'GET /ops' if n % 2 else ''}" for n in range(100, 100 + 4 * server.MAX_CONNECTIONS)
    )
    harness.run(f"{stalled}\no1 send {ops_request('stats')}\no1 expect HTTP/1.1 200 .*app_in_flight")


def test_without_an_address_there_is_no_admin_server() -> None:
    assert Harness().dispatcher.admin_listener is None


@given(st.lists(st.tuples(st.sampled_from(["a", 'b"\n']), st.sampled_from([*OUTCOMES, "attempt"]))))
@settings(max_examples=50, deadline=None)
def test_metrics_count_the_recorded_events(events: list[tuple[str, str]]) -> None:
    metrics = Metrics(("a", 'b"\n'))
    for name, action in events:
        if action == "attempt":
            metrics.attempt_written(name)
        else:
            metrics.job_ended(name, action)
    rendered = dict(line.rsplit(" ", 1) for line in metrics.render(in_flight=3).splitlines())
    for name, label in (("a", "a"), ('b"\n', 'b\\"\\n')):
        for outcome in OUTCOMES:
            key = f'app_requests{{class="{label}",outcome="{outcome}"}}'
            assert int(rendered.pop(key)) == events.count((name, outcome))
        assert int(rendered.pop(f'app_attempts{{class="{label}"}}')) == events.count((name, "attempt"))
    assert rendered == {"app_in_flight": "3"}


UP, DRAINING, GONE = api.WorkerState.UP, api.WorkerState.DRAINING, api.WorkerState.GONE


@given(
    st.lists(
        st.one_of(
            st.tuples(st.sampled_from(["ban", "lift"]), st.sampled_from("abc")),
            st.tuples(st.sampled_from([UP, DRAINING, GONE]), st.sampled_from("abc")),
            st.tuples(st.just("full"), st.sets(st.sampled_from("abc"))),
        )
    )
)
@settings(max_examples=200, deadline=None)
def test_the_stricter_of_ban_and_list_applies_after_any_history(steps: list[tuple[Any, Any]]) -> None:
    bans, reported, listed, banned, ever_listed = Bans(), {}, {}, set(), set()
    for action, subject in steps:
        if action in ("ban", "lift"):
            banned = banned | {subject} if action == "ban" else banned - {subject}
            update = bans.set_banned(frozenset(banned))
        else:
            if action == "full":
                listed, entries, kind = (
                    dict.fromkeys(subject, UP),
                    [(w, UP) for w in subject],
                    api.ListKind.FULL,
                )
            else:
                listed[subject], entries, kind = action, [(subject, action)], api.ListKind.CHANGES
            ever_listed |= {w for w, _ in entries}
            entries_listed = tuple(api.WorkerEntry(w, state=s) for w, s in entries)
            update = bans.apply_to_list(api.WorkerList(kind, entries_listed))
            reported = {} if kind is api.ListKind.FULL else reported
        reported |= {entry.worker: entry.state for entry in update.entries} if update else {}
        for worker, state in listed.items():
            expected = DRAINING if state is UP and worker in banned else state
            assert reported[worker] is expected
        assert all(bans.knows(w) is (w in ever_listed) for w in "abc")


def test_bans_outlast_the_process_and_are_shared_with_the_next_one(tmp_path: Path) -> None:
    old = BanFile(tmp_path, "n1")
    assert old.set_banned("p1", True) == {"p1"}
    new = BanFile(tmp_path, "n1")
    assert new.read() == {"p1"}
    assert BanFile(tmp_path, "n2").read() == frozenset()
    new.set_banned("p2", True)
    assert old.has_changed()
    assert old.read() == {"p1", "p2"}
    assert not old.has_changed()


def test_a_change_made_while_the_file_is_locked_is_written_later(tmp_path: Path) -> None:
    old, new = BanFile(tmp_path, "n1"), BanFile(tmp_path, "n1")
    old.set_banned("p0", True)
    with open(next(tmp_path.glob("*.json")).with_suffix(".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        assert old.set_banned("p1", True) == {"p0", "p1"}
        assert old.set_banned("p0", False) == {"p1"}
        assert not old.flush()
        assert new.read() == {"p0"}
    new.set_banned("p2", True)
    assert old.read() == {"p1", "p2"}  # the stored change and the pending one
    assert old.flush()
    assert new.read() == BanFile(tmp_path, "n1").read() == {"p1", "p2"}


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"version": 2}', '{"version": 1, "banned": ["p1"], "crc": 1}', '{"version":1}']
)
def test_an_invalid_file_is_ignored_and_replaced_by_the_next_change(tmp_path: Path, text: str) -> None:
    BanFile(tmp_path, "n1").set_banned("p0", True)
    (path,) = tmp_path.glob("*.json")
    path.write_text(text)
    ban_file = BanFile(tmp_path, "n1")
    assert ban_file.read() == frozenset()
    ban_file.set_banned("p1", True)
    assert json.loads(path.read_text())["banned"] == ["p1"]


def make_failing(monkeypatch: pytest.MonkeyPatch, call: str, *errors: int) -> list[int]:
    """Makes a function of ``os`` fail with these errors in turn; returns those that are still to come."""
    real, errors_left = getattr(os, call), list(errors)

    def fail_or_call(*args: Any, **kwargs: Any) -> Any:
        if errors_left:
            number = errors_left.pop(0)
            raise OSError(number, os.strerror(number))
        return real(*args, **kwargs)

    monkeypatch.setattr(os, call, fail_or_call)
    return errors_left


@pytest.mark.parametrize("call", ["open", "write", "fsync", "replace"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_ban_is_stored_before_it_is_answered_with_200(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, error: int
) -> None:
    """Guards against a ban that is answered with 200 and lost with the process (bcef66)."""
    harness = admin_harness(folder=tmp_path)
    errors_left = make_failing(monkeypatch, call, error)
    for line in (f"o1 send {ban_request('down', 'p1')}", "o1 expect HTTP/1.1 500 .*not stored yet"):
        harness.step(line)
    assert errors_left == []
    harness.step(f"c1 send {job()}")
    harness.step("p2 expect in$")  # the ban applies although it is not stored
    for line in (f"o2 send {ban_request('down', 'p1')}", "o2 expect HTTP/1.1 200"):
        harness.step(line)
    assert BanFile(tmp_path, "n1").read() == {"p1"}
    harness.close()
    assert not [path for path in tmp_path.iterdir() if path.suffix not in (".json", ".lock")]


def test_bans_survive_a_temporary_read_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed read after which the next change overwrites the stored bans (bcef66)."""
    BanFile(tmp_path, "n1").set_banned("p1", True)
    errors_left = make_failing(monkeypatch, "stat", errno.EIO, errno.EIO)
    ban_file = BanFile(tmp_path, "n1")
    assert ban_file.read() == frozenset()
    ban_file.set_banned("p2", True)
    assert errors_left == [] and not ban_file.is_stored
    assert ban_file.has_changed()
    assert ban_file.read() == {"p1", "p2"}
    assert ban_file.flush()
    assert BanFile(tmp_path, "n1").read() == {"p1", "p2"}


def test_a_write_cut_off_by_a_kill_leaves_the_old_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a partly written file in place of the stored bans (bcef66)."""
    BanFile(tmp_path, "n1").set_banned("p1", True)
    real = os.write

    def write_half(file: int, data: bytes) -> int:
        real(file, data[: len(data) // 2])
        raise KeyboardInterrupt  # as if the process were killed here

    monkeypatch.setattr(os, "write", write_half)
    with pytest.raises(KeyboardInterrupt):
        BanFile(tmp_path, "n1").set_banned("p2", True)
    monkeypatch.undo()
    assert BanFile(tmp_path, "n1").read() == {"p1"}


def test_without_a_writable_folder_bans_apply_to_the_process(tmp_path: Path) -> None:
    for folder in (None, tmp_path / "missing"):
        ban_file = BanFile(folder, "n1")
        assert ban_file.set_banned("p1", True) == {"p1"}
        assert ban_file.set_banned("p2", True) == {"p1", "p2"}
