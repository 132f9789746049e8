"""Which ids a new request may not use, in one process of a dispatcher and in several."""

import errno
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathway.settings import read_settings
from ironbarrow.core.job_ids import IdState, JobIds
from ironbarrow.core.recent_ids import RETENTION, RecentIds
from ironbarrow.handover import id_locks, records
from ironbarrow.handover.id_locks import FileIdLocks
from tests.scenario import SETTINGS, answer, call_back, job
from tests.test_handover import ACCEPTED, Pair
from tests.virtual import VirtualLoop

CLASS_PATHS = ["book/x", "map/x"]  # of a class whose jobs must not run twice, and of a safe one
MOST_PROCESSES = 3  # of one dispatcher at a time


def accepted(path: str, name: str = "c1") -> str:
    """Steps after which worker p1 runs job j1 of the client with this name."""
    return f"""{name} send {job("j1", path)}
        p1 expect X-Request-ID: j1
        p1 send {ACCEPTED}
        wait 50"""


def repeated(name: str, path: str, status: int) -> str:
    """A step in which another client's request with the same id gets an error."""
    return f"""{name} send {job("j1", path)}
        {name} expect HTTP/1.1 {status}"""


def scenarios(path: str) -> dict[str, str]:
    """Orders of events in which a process gets the id of a job that only another one has seen."""
    done = call_back("done", result="out")
    retained = 500 if path == "book/x" else 409
    return {
        "handed over": f"""
            {accepted(path)}
            new
            stop
            gone
            {repeated("n1", path, 409)}
            n2 send {done}
            c1 expect HTTP/1.1 200 .*out$
            """,
        "handed over twice": f"""
            {accepted(path)}
            new
            stop
            again
            new
            stop
            gone
            {repeated("n1", path, 409)}
            n2 send {done}
            c1 expect HTTP/1.1 200 .*out$
            """,
        "at the old process, which serves": f"""
            {accepted(path)}
            new
            {repeated("n1", path, 409)}
            c2 send {done}
            c1 expect HTTP/1.1 200 .*out$
            """,
        "at the new process, beside the old one": f"""
            new
            {accepted(path, "n1")}
            {repeated("c1", path, 409)}
            n2 send {done}
            n1 expect HTTP/1.1 200 .*out$
            """,
        "handed over, asked at the old process": f"""
            {accepted(path)}
            new
            stop
            wait 100
            {repeated("c2", path, 409)}
            n2 send {done}
            c1 expect HTTP/1.1 200 .*out$
            gone
            """,
        "not accepted yet, so not handed over": f"""
            c1 send {job("j1", path)}
            p1 expect X-Request-ID: j1
            new
            stop
            {repeated("n1", path, 409)}
            p1 send {ACCEPTED}
            wait 100
            n2 send {done}
            c1 expect HTTP/1.1 200 .*out$
            gone
            """,
        "its client left the new process, its worker hangs": f"""
            {accepted(path)}
            new
            stop
            gone
            c1 close
            p1 expect DELETE /jobs/j1
            {repeated("n1", path, retained)}
            """,
        "its time is over at the new process": f"""
            c1 send {job("j1", path, ms=1000)}
            p1 expect X-Request-ID: j1
            p1 send {ACCEPTED}
            wait 50
            new
            stop
            gone
            c1 expect HTTP/1.1 50[03]
            {repeated("n1", path, retained)}
            p1 expect DELETE /jobs/j1
            """,
    }


@pytest.mark.parametrize("path", CLASS_PATHS)
@pytest.mark.parametrize("name", scenarios("book/x"))
def test_an_id_in_use_in_another_process_is_not_sent_again(tmp_path: Path, name: str, path: str) -> None:
    """Guards against a job run twice because its id came to a process that had not seen it (review/1)."""
    run_without_second_send(tmp_path, scenarios(path)[name])


def run_without_second_send(folder: Path, steps: str) -> None:
    """Runs the steps; job j1 must reach no worker after worker p1 has received it."""
    pair = Pair(folder)
    try:
        for line in steps.strip().splitlines():
            pair.step(line.strip())
        pair.run_for(0.05)
        assert pair.peers["p2"].sock is None, "sent to a second worker"
        assert b"POST" not in pair.peers["p1"].received, "sent to its worker again"
    finally:
        pair.close()


RETAINED = {
    "served by the new process": f"""
        {accepted("book/x")}
        new
        stop
        gone
        n1 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        """,
    "failed at the new process": f"""
        {accepted("book/x")}
        new
        stop
        gone
        n1 send {call_back("lost")}
        c1 expect HTTP/1.1 500
        """,
    "served before the replacement": f"""
        {accepted("book/x")}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        new
        stop
        gone
        """,
    "served before two replacements": f"""
        {accepted("book/x")}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        new
        stop
        again
        new
        stop
        gone
        """,
    # a request that has begun behind the job keeps it at the old process until its end
    "served by the old process after the stop": f"""
        {accepted("book/x")}
        c1 send POST
        new
        stop
        wait 100
        n1 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200
        gone
        """,
}


@pytest.mark.parametrize("name", RETAINED)
def test_a_booking_that_may_have_run_is_not_run_again_by_a_successor(tmp_path: Path, name: str) -> None:
    """Guards against a booking run twice because the next process did not know its id (review/1)."""
    run_without_second_send(tmp_path, RETAINED[name] + repeated("n3", "book/x", 500))


def test_an_id_is_free_again_once_its_worker_has_confirmed_the_end(tmp_path: Path) -> None:
    """Guards against ids of safe jobs that stay refused after the hand-over."""
    steps = f"""{accepted("map/x")}
        new
        stop
        gone
        c1 close
        p1 expect DELETE /jobs/j1
        p1 send {answer(200)}
        wait 50
        n1 send {job("j1", "map/x")}"""
    pair = Pair(tmp_path)
    try:
        for line in steps.splitlines():
            pair.step(line.strip())
        pair.run_until("sent again", lambda: sent_to_any(pair))
    finally:
        pair.close()


def sent_to_any(pair: Pair) -> bool:
    """Whether a worker has got job j1 since its last expected message."""
    return any(b"X-Request-ID: j1" in pair.peers[name].received for name in ("p1", "p2"))


def test_a_booking_that_never_ran_frees_its_id(tmp_path: Path) -> None:
    pair = Pair(tmp_path, settings=read_settings({**SETTINGS, "limits": {"mostTries": 1, "cancel": True}}))
    steps = f"""{accepted("book/x")}
        new
        stop
        gone
        n1 send {call_back("returned")}
        c1 expect HTTP/1.1 503
        n2 send {job("j1", "book/x")}"""
    try:
        for line in steps.splitlines():
            pair.step(line.strip())
        pair.run_until("sent again", lambda: sent_to_any(pair))
    finally:
        pair.close()


@pytest.mark.parametrize("others_run", [True, False])
def test_an_id_that_cannot_be_locked_is_refused_only_beside_another_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, others_run: bool
) -> None:
    """Guards against a failing lock taken for a free id, and against a service that stops for it."""
    pair = Pair(tmp_path)
    if others_run:
        pair.step("new")

    def fail(*arguments: Any) -> None:
        raise OSError(errno.ENOLCK, "error of the test")

    monkeypatch.setattr(id_locks.fcntl, "fcntl", fail)
    pair.step(f"c1 send {job('j1', 'book/x')}")
    pair.step("c1 expect HTTP/1.1 500" if others_run else "p1 expect X-Request-ID: j1")
    monkeypatch.undo()
    pair.close()


class Processes:
    """Processes of one dispatcher, which share a folder: which ids each has in use and retains."""

    def __init__(self, folder: Path) -> None:
        self._folder, self.clock = folder, VirtualLoop()
        self.running: list[tuple[JobIds, FileIdLocks]] = []
        self.start()

    def start(self) -> None:
        ids = JobIds(self.clock)
        locks = FileIdLocks(self._folder, "n1", lambda: True, lambda: None)
        ids.set_locks(locks)
        self.running.append((ids, locks))

    def end(self, position: int) -> None:
        self.running.pop(position)[1].close()


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_at_most_one_process_gets_an_id_whatever_the_order(
    tmp_path_factory: pytest.TempPathFactory, data: st.DataObject
) -> None:
    processes = Processes(tmp_path_factory.mktemp("ids"))
    users: dict[str, list[JobIds]] = {}  # the processes that have an id in use or retain it
    for _ in range(data.draw(st.integers(1, 25))):
        running = processes.running
        ids, _locks = running[position := data.draw(st.integers(0, len(running) - 1))]
        job_id = data.draw(st.sampled_from(("a", "b")))
        step = data.draw(st.sampled_from(("claim", "release", "retain", "pass on", "start", "end", "wait")))
        using = users.setdefault(job_id, [])
        if step == "claim":
            free = ids.claim(job_id) is IdState.FREE
            assert free == (not using), (job_id, step)
            using += [ids] * free
        elif step in ("release", "retain") and ids in using and ids.state(job_id) is IdState.IN_USE:
            ids.release(job_id, may_have_run=step == "retain")
            if step == "release" and ids.state(job_id) is IdState.FREE:
                using.remove(ids)
        elif step == "pass on" and ids in using:
            successor = running[(position + 1) % len(running)][0]
            ids.share(job_id)
            successor.hold(job_id)
            using += [successor] * (successor not in using)
        elif step == "start" and len(running) < MOST_PROCESSES:
            processes.start()
        elif step == "end" and len(running) > 1:
            processes.end(position)
            for using_it in users.values():
                using_it[:] = [process for process in using_it if process is not ids]
        elif step == "wait":
            processes.clock.time += RETENTION + 1
            for process, _ in running:
                process.drop_expired()
            for name, using_it in users.items():
                using_it[:] = [process for process in using_it if process.state(name) is IdState.IN_USE]
    for _, locks in processes.running:
        locks.close()


def test_messages_of_retained_ids_are_bounded_and_whole() -> None:
    retentions = {f"{number:05d}" + "x" * 4_000: number + 1 for number in range(100)}
    messages = list(records.retained_ids_messages(retentions))
    assert len(messages) > 1 and all(len(data) < 160 * 1024 for _, data in messages)
    told = {job_id: left for _, data in messages for job_id, left in records.parse(data)["ids"].items()}
    assert told == retentions


@pytest.mark.parametrize("ids", [None, [], {"a": 0}, {"a": "1"}, {"a": True}])
def test_malformed_retained_ids_raise_a_record_error(ids: Any) -> None:
    with pytest.raises(records.RecordError, match="ids"):
        records.parse(records.message(records.RETAINED_IDS, ids=ids))


def test_recent_ids_are_limited_in_number_and_time() -> None:
    recent = RecentIds()
    for number in range(5_000):
        recent.add(str(number), number)
    dropped = recent.drop_expired(5_000)
    assert dropped == [str(number) for number in range(904)] and not recent.has("903", 5_000)
    assert recent.has("904", 904 + RETENTION) and not recent.has("904", 905 + RETENTION)
    recent.add("4999", 5_000, 1)
    assert recent.remaining(5_000)["4999"] == RETENTION - 1


def test_an_id_is_retained_for_its_time_however_many_come_after_it() -> None:
    """Guards against a booking that runs twice as 4,096 others have run in the two minutes between."""
    recent = RecentIds()
    for number in range(12_000):  # 100 bookings a second
        recent.add(f"j{number}", number * RETENTION // 12_000)
        recent.drop_expired(number * RETENTION // 12_000)
    assert recent.has("j0", RETENTION - 1)


def test_a_process_sees_the_locks_of_another_one_by_the_same_file(tmp_path: Path) -> None:
    first, second = (FileIdLocks(tmp_path, "n1", lambda: True, lambda: None) for _ in range(2))
    assert first.acquire("a") is IdState.FREE and second.acquire("a") is IdState.IN_USE
    other = FileIdLocks(tmp_path, "n2", lambda: True, lambda: None)
    assert other.acquire("a") is IdState.FREE
    for locks in (first, second, other):
        locks.close()
