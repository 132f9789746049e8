"""Names outside the code that must stay compatible: in worlds, in plans and in messages between processes."""

import json
from pathlib import Path

import msgspec
import pytest

from ironbarrow.core.jobs import Verdict
from ironbarrow.fleet.rollout.plan import Plan
from ironbarrow.fleet.takeover import machine
from ironbarrow.handover import records
from ironbarrow.handover.records import Record, RecordError
from ironbarrow.lab.experiment.spec import load_plan
from ironbarrow.lab.model.spec import World, WorldError, convert, load_world, read_toml

SMALL = Path(__file__).parents[1] / "experiments" / "small.toml"
ADDITIONS = """
[clients]
retries = 3
[discovery]
latest = "700 ms"
[[faults]]
kind = "hang"
at = "1 s"
lasts = "2 s"
workers = ["gen2-1"]
[[faults]]
kind = "discovery outage"
at = "2 s"
lasts = "1 s"
"""
FORMER = {
    "[[workers]]": "[[providers]]",
    "[clients]": "[consumers]",
    "[discovery]": "[directory]",
    "workers = [": "providers = [",
    '"discovery outage"': '"directory outage"',
}
SWEEP = """
name = "sweep"
world = "world.toml"
seeds = 1
[axes]
"{}.gen2.count" = [2, 3]
"{}.retries" = [0]
"""


def present_world() -> str:
    return SMALL.read_text() + ADDITIONS


def former_world() -> str:
    text = present_world()
    for present, former in FORMER.items():
        assert present in text
        text = text.replace(present, former)
    return text


def test_a_world_with_former_names_equals_the_one_with_present_names(tmp_path: Path) -> None:
    (tmp_path / "present.toml").write_text(present_world())
    (tmp_path / "former.toml").write_text(former_world())
    world = load_world(tmp_path / "former.toml")
    assert world == load_world(tmp_path / "present.toml")
    assert world.clients.retries == 3 and world.faults[0].workers == ["gen2-1"]


@pytest.mark.parametrize(
    ("present", "former"), [("workers", "providers"), ("clients", "consumers"), ("discovery", "directory")]
)
def test_a_world_with_a_key_under_both_names_is_refused(present: str, former: str, tmp_path: Path) -> None:
    path = tmp_path / "world.toml"
    path.write_text(present_world())
    raw = read_toml(path)
    with pytest.raises(WorldError, match=f"`{former}`: the former name of `{present}`"):
        convert({**raw, former: raw[present]}, World, "w.toml")


def test_a_fault_with_workers_under_both_names_is_refused() -> None:
    raw = msgspec.toml.decode(present_world())
    raw["faults"][0]["providers"] = ["gen2-0"]
    with pytest.raises(WorldError, match=r"faults\[0\]: `providers`: the former name of `workers`"):
        convert(raw, World, "w.toml")


@pytest.mark.parametrize("world", [present_world, former_world])
def test_an_experiment_accepts_both_names_of_a_key(world: object, tmp_path: Path) -> None:
    assert callable(world)
    (tmp_path / "world.toml").write_text(world())
    cells = []
    for names in (("workers", "clients"), ("providers", "consumers")):
        path = tmp_path / "sweep.toml"
        path.write_text(SWEEP.format(*names))
        cells.append([cell.id for cell in load_plan(path, tmp_path / "scratch").cells])
    assert cells[0] == cells[1] and len(set(cells[0])) == 2


def test_a_rollout_plan_keeps_the_names_of_its_targets() -> None:
    wave = {"share": 1.0}
    raw = {"name": "p", "runtime": "r2", "last_good": "r1", "sites": ["a"], "waves": [wave]}
    for targets in ("providers", "dispatchers"):
        assert msgspec.convert({**raw, "targets": targets}, Plan).targets == targets


RECORD = Record("j1", "map", "POST", "/map", b"in", "text/x", 1_000, 1, "p1")


def test_a_hand_over_record_keeps_the_key_provider() -> None:
    # The old process and its replacement may be different versions, which must read the same key.
    message = json.loads(records.job_message(RECORD))
    assert message["job"]["provider"] == "p1" and "worker" not in message["job"]
    assert records.parse(json.dumps(message).encode())["job"] == RECORD
    message["job"]["worker"] = "p2"
    with pytest.raises(RecordError):
        records.parse(json.dumps(message).encode())


def test_a_fleet_keeps_the_encoded_words_of_verdicts() -> None:
    # A member of another version takes a word that it does not know for a failure.
    assert {verdict: machine.ENCODED_VERDICTS[verdict] for verdict in Verdict} == {
        Verdict.SERVED: "served",
        Verdict.REFUSED: "rejected",
        Verdict.FAILED: "failed",
    }
