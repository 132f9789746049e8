"""The settings of a dispatcher: invalid ones are refused by name, and accepted ones can be run with."""

import copy
import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathway import api
from heathway.logic import Dispatcher
from heathway.settings import ReportReader, read_settings

S = 1_000_000_000
VALID: dict[str, Any] = {
    "clients": {"marksRetry": False},
    "deductions": {"crossZone": 0.02, "lateFail": 0.04, "probe": 0.004, "waste": 0.3},
    "discovery": "ask",
    "familyInfo": {
        "classKind": [-1, 1, -1],
        "classPriority": [0, 2, 1],
        "classStretch": [2.5, 0, 1],
        "progress": 0,
        "queueOrder": "priority",
        "reportX0": "free slots",
        "reportX1": "free memory",
        "tellsStart": True,
    },
    "guarantees": {
        "answerSlack": 16_000_000,
        "askWithin": 10 * S,
        "cold": 22 * S,
        "drainGrace": S,
        "fallMultiple": 2.5,
        "startCapacity": 0.15,
        "tipAfter": 3 * S,
    },
    "kinds": ["big", "small"],
    "limits": {
        "cancel": True,
        "maxRetryAfter": 2 * S,
        "mostTries": 3,
        "peers": False,
        "probes": True,
        "retryAfter": True,
        "secondCopies": False,
    },
    "me": 1,
    "overShareWorth": 0.1,
    "realms": [
        {"name": "one", "share": 0.7, "allowancePerS": 12.5},
        {"name": "two", "share": 0.3, "allowancePerS": 4},
    ],
    "replicasOfMe": 3,
    "report": {"fields": ["errors_per_s", "backlog", "x0"], "how": "inline"},
    "requestClasses": [
        {"name": "plain", "effect": "pure", "promise": S, "giveUp": 10 * S, "lateWorth": 0.5, "worth": 1.0},
        {"name": "once", "effect": "token", "group": "cell", "window": S, "promise": S, "giveUp": 5 * S},
        {"name": "never", "effect": "side_effect", "promise": 4 * S, "giveUp": 25 * S, "aimStretch": 1.5},
    ],
    "round": 4_000_000,
    "valueBy": "work",
    "weightSource": "live",
    "zone": "north",
    "zones": ["north", "south"],
}


def with_value(path: str, value: Any) -> dict[str, Any]:
    """The valid settings with one value changed. ``path``: keys and list indices, separated by dots."""
    conf = copy.deepcopy(VALID)
    *parents, last = path.split(".")
    target: Any = conf
    for step in parents:
        target = target[int(step)] if step.isdigit() else target[step]
    target[int(last) if last.isdigit() else last] = value
    return conf


def message_path(path: str) -> str:
    """A path as error messages show it."""
    text = ""
    for step in path.split("."):
        text += f"[{step}]" if step.isdigit() else f".{step}" if text else step
    return text


NUMBERS = {
    "requestClasses.0.worth": (0, math.inf),
    "requestClasses.0.lateWorth": (0, 1.01),
    "requestClasses.0.promise": (1, math.inf),
    "requestClasses.0.giveUp": (1, math.inf),
    "requestClasses.1.window": (0, math.inf),
    "requestClasses.2.aimStretch": (0, math.inf),
    "familyInfo.classStretch.0": (0, math.inf),
    "familyInfo.classKind.0": (-1, 2),
    "realms.0.share": (0, math.inf),
    "realms.0.allowancePerS": (0, math.inf),
    "overShareWorth": (0, 1.01),
    "me": (0, 3),
    "replicasOfMe": (1, 1 << 40),
    "round": (1, 3600 * S),
    "limits.mostTries": (1, 1 << 40),
    "limits.maxRetryAfter": (0, math.inf),
    "guarantees.answerSlack": (0, math.inf),
    "guarantees.askWithin": (0, math.inf),
    "guarantees.drainGrace": (0, math.inf),
    "guarantees.cold": (0, math.inf),
    "guarantees.startCapacity": (0.01, 1.01),
    "guarantees.fallMultiple": (0.01, math.inf),
    "guarantees.tipAfter": (1, math.inf),
    "deductions.crossZone": (0, math.inf),
    "deductions.waste": (0, math.inf),
    "deductions.lateFail": (0, math.inf),
    "deductions.probe": (0, math.inf),
}
FLAGS = [
    "limits.cancel",
    "limits.probes",
    "limits.peers",
    "limits.secondCopies",
    "limits.retryAfter",
    "familyInfo.tellsStart",
    "requestClasses.0.streaming",
]
TEXTS = [
    "zone",
    "discovery",
    "valueBy",
    "weightSource",
    "report.how",
    "familyInfo.reportX0",
    "familyInfo.reportX1",
    "requestClasses.0.name",
    "requestClasses.0.effect",
    "requestClasses.1.group",
    "realms.0.name",
]
OBJECTS = ["limits", "guarantees", "deductions", "familyInfo", "report"]
LISTS = [
    "requestClasses",
    "realms",
    "kinds",
    "zones",
    "report.fields",
    "familyInfo.classKind",
    "familyInfo.classStretch",
]
INVALID: list[tuple[str, Any, str]] = [
    *((path, value, "expected a number") for path in NUMBERS for value in ("1", [], True, math.nan, {})),
    *((path, least - 1 if least >= 1 else -2, "expected a number") for path, (least, _) in NUMBERS.items()),
    *((path, over, "expected a number") for path, (_, over) in NUMBERS.items()),
    ("guarantees.startCapacity", 0, "a number above 0 to 1, got 0"),
    ("guarantees.fallMultiple", 0, "a number above 0, got 0"),
    ("limits.mostTries", 2.5, "expected a number from 1 to"),
    ("replicasOfMe", 2.5, "expected a number from 1 to"),
    ("me", 3, "expected a number below replicasOfMe, which is 3, got 3"),
    *((path, value, "expected true or false") for path in FLAGS for value in (1, "true", [], math.nan)),
    *((path, value, "expected ") for path in TEXTS for value in (7, [], True, {})),
    *((path, value, "expected an object") for path in OBJECTS for value in (7, [], "x", True)),
    *((path, value, "expected a list of") for path in LISTS for value in (7, {}, "north", True)),
    ("zone", "east", "one of zones (['north', 'south']), got 'east'"),
    ("zones", ["north", "north"], "expected a list of strings without duplicates"),
    ("kinds", ["big", "big"], "expected a list of strings without duplicates"),
    ("zones", [1, 2], "expected a list of strings"),
    ("report.fields", ["x0", "x0"], "expected a list of strings without duplicates"),
    ("discovery", "gossip", "expected one of push, ask, got 'gossip'"),
    ("valueBy", "hour", "expected one of request, work, got 'hour'"),
    ("requestClasses", [], "expected a list of at least one class, got []"),
    ("requestClasses", [7], "expected a list of objects"),
    ("requestClasses.1.name", "plain", "expected a unique name, got 'plain'"),
    ("requestClasses.0.name", "", "expected a string that is not empty, got ''"),
    ("requestClasses.0.effect", "odd", "expected one of pure, token, side_effect, got 'odd'"),
    ("requestClasses.1.group", "rack", "expected one of all, zone, cell, got 'rack'"),
    ("requestClasses.1.group", None, "is missing"),
    ("requestClasses.1.window", None, "is missing"),
    ("requestClasses.0.promise", None, "is missing"),
    ("requestClasses.0.effect", None, "is missing"),
    ("requestClasses.0.name", None, "is missing"),
    ("realms.0.name", None, "is missing"),
    ("realms.1.name", "one", "expected a unique name, got 'one'"),
    ("familyInfo.classKind.1", 2, "expected a number from -1 to 1, got 2"),
    ("me", None, "is missing"),
    ("replicasOfMe", None, "is missing"),
    ("limits", "x" * 500, "'xxx"),
]


@pytest.mark.parametrize(
    ("path", "value", "text"), INVALID, ids=[f"{p}={str(v)[:12]}" for p, v, _ in INVALID]
)
def test_an_invalid_value_is_refused_with_its_path_the_value_and_what_was_expected(path, value, text):
    with pytest.raises(ValueError) as caught:
        read_settings(with_value(path, value))
    message = str(caught.value)
    assert message.startswith("settings: ")
    assert message_path(path) in message
    assert text in message
    assert "\n" not in message
    assert len(message) < 200
    if value is not None and len(str(value)) < 20:
        assert f"got {value!r}" in message


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("an unknown key", {"x": [1]}),
        ("limits.an unknown limit", "x"),
        ("requestClasses.0.group", "rack"),  # not read for a class whose jobs may run any number of times
        ("requestClasses.0.window", "soon"),
        ("requestClasses.2.window", None),
        ("familyInfo.queueOrder", "sideways"),
        ("familyInfo.reportX1", "free lunch"),
        ("weightSource", "gossip"),
        ("report.how", "by post"),
        ("report.fields", ["x0", "an unknown field"]),
        ("familyInfo.classKind", []),
        ("familyInfo.classKind", None),
        ("familyInfo.classStretch", [1]),
        ("kinds", ["big", "small", "more"]),
        ("zones", None),
        ("realms", None),
        ("limits", None),
        ("deductions", {}),
        ("discovery", None),
        ("guarantees.cold", 20_000_000_000.0),
        ("guarantees.startCapacity", 1),
        ("round", 1),
        ("me", 2.0),
        ("scoringMix", 7),
        ("tiers", None),
    ],
)
def test_values_that_are_unused_or_optional_are_accepted(path, value):
    assert read_settings(with_value(path, value)).classes[1].group is api.Group.CELL


def test_a_class_names_its_worker_kind_by_index():
    assert [cls.worker_kind for cls in read_settings(VALID).classes] == [None, "small", None]


def paths(value: Any, parents: tuple[str, ...] = ()) -> list[str]:
    """The paths of all values in ``value``."""
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = ((str(i), v) for i, v in enumerate(value))
    found = [".".join(parents)] if parents else []
    for name, item in items:
        found += paths(item, (*parents, str(name)))
    return found


ARBITRARY_VALUES = st.one_of(
    st.sampled_from(
        [
            *(None, True, False, "", "x", "all", "ask", "\n", [], {}, [1], [None], [{}], {"name": "x"}),
            *(0, 1, -1, 2, 7, 0.5, 1e-9, 1e9, 1e300, 1e14, math.nan, math.inf, -math.inf, 10**200, 1 << 62),
        ]
    ),
    st.integers(-5, 10**12),
    st.floats(),
    st.lists(st.one_of(st.integers(-2, 3), st.text(max_size=3)), max_size=3),
)


def exercise(settings: api.Settings, conf: dict[str, Any]) -> None:
    """Runs a dispatcher: a worker list, jobs of every class, ends of attempts with reports, and ticks."""
    dispatcher = Dispatcher(settings, seed=1)
    reports = ReportReader(conf)
    workers = tuple(
        api.WorkerEntry(f"w{i}", "north", i // 2, ("big", "small")[i % 2], started_at=(i == 3) * S)
        for i in range(6)
    )
    jobs = [
        api.JobArrived(n, cls.name, ("one", "two", "three", None)[n % 4], n % 3, min(cls.deadline, 60 * S))
        for n, cls in enumerate(settings.classes * 3)
    ]
    now = 2 * S
    actions = dispatcher.handle(now, [api.WorkerList(api.ListKind.LAST_KNOWN, workers), *jobs])
    for outcome in (api.Outcome.FULL, api.Outcome.RESET, api.Outcome.OK):
        now += max(settings.tick, 50_000_000)
        ended: list[api.Event] = [api.TimerFired("wake")]
        report = reports.read([("x0", 2.0), ("backlog", 1), ("errors_per_s", 0.0)])
        for action in actions:
            if isinstance(action, api.Send):
                last = outcome is api.Outcome.OK
                ended.append(
                    api.AttemptEnded(action.job, 0, action.worker, outcome, last, 40_000_000, report)
                )
        actions = dispatcher.handle(now, ended)
        assert all(action.delay > 0 for action in actions if isinstance(action, api.SetTimer))
    for _ in range(5):
        now += max(settings.tick, S)
        dispatcher.handle(now, [api.TimerFired("wake")])


@given(st.lists(st.tuples(st.sampled_from(paths(VALID)), ARBITRARY_VALUES), min_size=1, max_size=3))
def test_arbitrary_changes_are_refused_by_name_or_can_be_run_with(changes):
    conf = copy.deepcopy(VALID)
    changed_paths = []
    for path, value in changes:
        *parents, last = path.split(".")
        target: Any = conf
        try:
            for step in parents:
                target = target[int(step)] if isinstance(target, list) else target[step]
            target[int(last) if isinstance(target, list) else last] = value
        except (KeyError, IndexError, TypeError, ValueError):
            continue  # an earlier change has removed the object at this path
        changed_paths.append(path)
    try:
        settings = read_settings(conf)
        ReportReader(conf)
    except ValueError as error:
        text = str(error)
        assert text.startswith("settings: ")
        assert "\n" not in text
        steps = {step for path in changed_paths for step in path.split(".") if not step.isdigit()}
        assert any(step in text for step in steps), text
    else:
        exercise(settings, conf)


def test_valid_settings_can_be_run_with():
    exercise(read_settings(VALID), VALID)
    assert json.loads(json.dumps(VALID)) == VALID
