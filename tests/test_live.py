"""Live runs: what their dispatchers' processes find at a start, and what is told of one that ended there."""

import time
from pathlib import Path

import msgspec
import pytest

from ironbarrow.lab.live.run import LiveRun
from ironbarrow.lab.model.spec import World, convert
from ironbarrow.runtime.loop import MS

ROUTED = """
name = "routed"
duration = "1 s"
arrivals = { rate = 10.0 }
network = { zones = ["north"] }
[dispatchers]
count = 2
routes = '''
version = 1
[[routes]]
name = "all"
when = 'method == "POST"'
class = "map"
'''
[[classes]]
name = "map"
share = 1.0
work = { mean = "50 ms", kind = "fixed" }
wanted = "2 s"
deadline = "3 s"
[[providers]]
name = "p"
count = 1
cores = 4
slots = 4
"""
START_LIMIT_S = 30.0


def routed_run(folder: Path) -> LiveRun:
    return LiveRun(convert(msgspec.toml.decode(ROUTED), World, "routed"), 1, folder)


def turn_until_ready_or_ended(run: LiveRun, number: int) -> None:
    """Turns the run's loop until one dispatcher serves, or its process has ended."""
    instance, limit = run.instances[number], time.monotonic() + START_LIMIT_S
    while not instance.ready_after and not instance.ended_at:
        assert time.monotonic() < limit, instance.log_path.read_text()
        run._turn(20 * MS)


def test_a_start_leaves_the_files_of_another_dispatcher_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The worst order: a dispatcher reads its files when the start of another has emptied what it writes."""
    run = routed_run(tmp_path)
    first, second = run.instances
    write_text = Path.write_text

    def write_slowly(path: Path, text: str) -> int:
        path.open("w").close()
        first.go_on()
        turn_until_ready_or_ended(run, 0)
        return write_text(path, text)

    try:
        first.start()
        first.pause()  # before it has read anything
        monkeypatch.setattr(Path, "write_text", write_slowly)
        second.start()
        assert first.status is None, first.log_path.read_text()
        turn_until_ready_or_ended(run, 1)
        assert second.status is None, second.log_path.read_text()
    finally:
        run.close()
