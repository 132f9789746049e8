"""Routes and limits: the expression language, invalid files, the limits, the commands and reloads."""

import copy
import json
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from heathway.settings import read_settings
from ironbarrow.cli.main import app
from ironbarrow.config import ConfigError
from ironbarrow.routing.check import FUNCTIONS, VARIABLES, check_expression
from ironbarrow.routing.evaluate import compile_expression, evaluate
from ironbarrow.routing.file import RoutesError, load_routes, schema
from ironbarrow.routing.grammar import MAX_DEPTH, ExpressionError, Type, parse_expression
from ironbarrow.routing.limiters import SECOND, RateLimiter, RetryBudget
from ironbarrow.routing.request import PathError, Request, make_request, split_path
from ironbarrow.routing.router import Rejection, Router, Ticket
from ironbarrow.routing.table import RoutingTable
from tests.scenario import SETTINGS, Harness, answer, call_back, job

DISPATCHER_SETTINGS = read_settings(SETTINGS)
VALID_FILE = """
version = 1
[limits.plain]
timeout = "8 s"
attempts = 2
retry_budget = { share = 0.2, least = 1 }
[limits.farm]
rate = { per_second = 5, burst = 3, by = "tenant" }
most_open = 4
[limits.bookings]
attempts = 2
resend = "never ran"
most_held = 2
pause = "20 ms"
[[routes]]
name = "booking"
when = 'part(0) == "book" and method == "POST"'
class = "book"
key = 'coalesce(cookie("sid"), header("x-session"))'
tenant = 'lower(header("x-farm"))'
limits = ["bookings"]
[[routes]]
name = "maps"
when = 'starts_with(path, "/map/") and body_size < 32KiB'
class = "map"
tenant = 'header("x-farm")'
limits = ["plain", "farm"]
"""


def make_table(text: str, tmp_path: Path) -> RoutingTable:
    path = tmp_path / "routes.toml"
    path.write_text(text)
    return RoutingTable(load_routes(path), DISPATCHER_SETTINGS)


def request(target: str = "/map/x", **headers: str) -> Request:
    named_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return make_request("POST", target, named_headers, time_left=5 * SECOND)


# Paths

VALID_PATHS = {
    "/a/b?x=1&x=2&y=%20": ("/a/b", ("a", "b"), {"x": "1", "y": " "}),
    "/a/b/": ("/a/b", ("a", "b"), {}),
    "/%C3%A9": ("/é", ("é",), {}),
    "/a%2Db": ("/a-b", ("a-b",), {}),
    "/A": ("/A", ("A",), {}),
    "/a%252fb": ("/a%2fb", ("a%2fb",), {}),  # decoded once
}


@pytest.mark.parametrize("target", VALID_PATHS)
def test_valid_paths_are_split_and_decoded_once(target: str) -> None:
    assert split_path(target) == VALID_PATHS[target]


AMBIGUOUS_PATHS = [
    "",
    "a",
    "/a//b",
    "//a",
    "/a/../b",
    "/./a",
    "/%2e%2e/a",
    "/a%2fb",
    "/a%5Cb",
    "/a%00",
    "/%",
    "/%zz",
    "/%ff",
    "/Ã",
    "/a?x=%ff",
]


@pytest.mark.parametrize("target", [*AMBIGUOUS_PATHS, "/" + "a" * 3000])
def test_ambiguous_paths_are_rejected(target: str) -> None:
    with pytest.raises(PathError):
        split_path(target)


# The expression language

EXPECTED_VALUES = {
    'part(0) == "map" and method == "POST"': True,
    'part(7) == ""': True,
    'header("x-a") in ["1", "2"]': True,
    'header("absent") == "" and not has_header("absent")': True,
    'matches(path, "^/ma[a-z]/[0-9]+$")': True,
    'integer(query("n"), 7) + 1 == 13': True,
    'integer(query("m"), 7) == 7': True,
    'integer("99999999999999999999", 1) == 1': True,
    "9223372036854775807 + 9223372036854775807 == 9223372036854775807": True,
    'number(attribute("w"), 0.5) * 2.0 >= 3.0': True,
    "time_left <= 5s and time_left > 4999ms": True,
    "body_size + 1KiB == 1KiB": True,
    'item(split(header("x-list"), ","), 1) == "b"': True,
    'count(split(header("x-list"), ",")) == 3 and length("é") == 2': True,
    'coalesce(header("absent"), cookie("sid"), "z") == "s1"': True,
    'bucket(cookie("sid"), 10) < 10 and hash("a") == hash("a")': True,
    '"b" in split(header("x-list"), ",") and "map" in parts': True,
    'lower("AbC") == "abc" and contains(path, "ap/1") and ends_with(path, "12")': True,
    'header("twice") == ""': True,  # a repeated header counts as absent
    "1 < 2 and 2.5 > 1.5 or false": True,
    'starts_with(path, "/ma") and zone == ""': True,
    "not (1 == 2)": True,
}
SAMPLE_REQUEST = make_request(
    "POST",
    "/map/12?n=12&m=x",
    {"x-a": "2", "x-list": "a,b,c", "cookie": "a=b; sid=s1", "x-attrs": "w=1.5,slots=2", "twice": "1"},
    repeated={"twice"},
    time_left=5 * SECOND,
)


@pytest.mark.parametrize("text", EXPECTED_VALUES)
def test_expressions_have_the_expected_values(text: str) -> None:
    checked = check_expression(parse_expression(text), Type.BOOLEAN)
    assert (
        evaluate(checked, SAMPLE_REQUEST)
        == compile_expression(checked)(SAMPLE_REQUEST)
        == EXPECTED_VALUES[text]
    )


INVALID_EXPRESSIONS = {
    "method == 1": "can't compare text == whole number",
    "1 == 1.0": "whole number == number",
    "time_left < 5": "duration < whole number",
    "body_size > 5s": "size > duration",
    'method < "a"': "no order",
    "method": "expected boolean, got text",
    "not method": "expected boolean, got text",
    "1 and true": "expected boolean, got whole number",
    'header(method) == ""': "constant as argument 1",
    'matches(path, header("x"))': "constant as argument 2",
    'matches(path, "(a")': "linear time",
    'matches(path, "(a)\\\\1")': "linear time",
    'matches(path, "(?=a)b")': "linear time",
    'matches(path, "((a{100}){100}){100}")': "linear time",
    'matches(path, "' + "a" * 300 + '")': "more than 256",
    'header("X-Farm") == "a"': "lower case",
    'nonsense == "a"': "unknown name 'nonsense'",
    'nonsense("a") == "a"': "unknown function nonsense()",
    'header("a", "b") == ""': "takes 1 arguments, got 2",
    'header() == ""': "takes 1 arguments, got 0",
    'split(path, "") == parts': "separator",
    "bucket(path, 0) == 1": "1 or more buckets",
    '"a" in "abc"': "expected list of text, got text",
    "99999999999999999999 == 1": "exceeds 64 bits",
    "5s * 2s == 1s": "unsupported operation: duration * duration",
    '"a" + "b" == "ab"': "unsupported operation: text + text",
    "method ==": "unexpected end",
    "== 1": "unexpected '=='",
    'method == "a': "unexpected '\"'",
    'method == "\\q"': "unknown escape",
    "5 parsecs == 1": "unexpected",
    "": "unexpected end",
    "a; b": "unexpected ';'",
    "__import__": "unknown name",
    "method.__class__ == 1": "unexpected '.'",
    "true\nand method": "line 2, column 5: expected boolean, got text",
    "(" * 10_000 + "true" + ")" * 10_000: "longer than",
    "not " * 100 + "true": f"deeper than {MAX_DEPTH}",
    "1" + "+1" * 100 + " == 1": f"deeper than {MAX_DEPTH}",
}


@pytest.mark.parametrize("text", INVALID_EXPRESSIONS, ids=lambda text: text[:40])
def test_invalid_expressions_are_rejected_with_position_and_reason(text: str) -> None:
    with pytest.raises(ExpressionError) as rejected:
        check_expression(parse_expression(text), Type.BOOLEAN)
    assert INVALID_EXPRESSIONS[text] in str(rejected.value)
    assert rejected.value.line >= 1 and rejected.value.column >= 1


def expressions() -> dict[Type, st.SearchStrategy[str]]:
    """Texts of well-typed expressions, by type."""
    words = st.text(alphabet="ab/é\\ 1.", max_size=6)
    quoted = words.map(lambda w: '"' + w.replace("\\", "\\\\") + '"')
    strategies: dict[Type, Any] = {}
    leaves = {
        Type.TEXT: st.one_of(quoted, st.sampled_from(["method", "path", "zone", 'header("x-a")', "part(1)"])),
        Type.INTEGER: st.one_of(st.integers(0, 2**63 - 1).map(str), quoted.map(lambda q: f"hash({q})")),
        Type.NUMBER: st.floats(0, 1e6).map(lambda f: f"{f:.3f}"),
        Type.DURATION: st.one_of(st.just("time_left"), st.integers(0, 999).map(lambda n: f"{n}ms")),
        Type.SIZE: st.one_of(st.just("body_size"), st.integers(0, 999).map(lambda n: f"{n}KiB")),
        Type.TEXTS: st.one_of(
            st.just("parts"), st.lists(quoted, max_size=3).map(lambda q: f"[{', '.join(q)}]")
        ),
        Type.BOOLEAN: st.sampled_from(["true", "false", 'has_header("x-a")']),
    }
    for kind, leaf in leaves.items():
        strategies[kind] = st.deferred(
            lambda kind=kind, leaf=leaf: st.one_of(leaf, compound_expressions(kind, strategies))
        )
    return strategies


def compound_expressions(kind: Type, strategies: dict[Type, Any]) -> st.SearchStrategy[str]:
    t, i, n, b, ts = (
        strategies[Type.TEXT],
        strategies[Type.INTEGER],
        strategies[Type.NUMBER],
        strategies[Type.BOOLEAN],
        strategies[Type.TEXTS],
    )
    if kind is Type.TEXT:
        return st.one_of(
            t.map(lambda a: f"lower({a})"),
            st.tuples(t, t).map(lambda v: f"coalesce({v[0]}, {v[1]})"),
            st.tuples(ts, st.integers(0, 5)).map(lambda v: f"item({v[0]}, {v[1]})"),
        )
    if kind is Type.INTEGER:
        return st.one_of(
            st.tuples(i, st.sampled_from("+-*"), i).map(lambda v: f"({v[0]} {v[1]} {v[2]})"),
            st.tuples(t, i).map(lambda v: f"integer({v[0]}, {v[1]})"),
            t.map(lambda a: f"length({a})"),
            ts.map(lambda a: f"count({a})"),
        )
    if kind is Type.NUMBER:
        return st.one_of(
            st.tuples(n, st.sampled_from("+-*"), n).map(lambda v: f"({v[0]} {v[1]} {v[2]})"),
            st.tuples(t, n).map(lambda v: f"number({v[0]}, {v[1]})"),
        )
    if kind in (Type.DURATION, Type.SIZE):
        return st.tuples(strategies[kind], st.sampled_from("+-"), strategies[kind]).map(
            lambda v: f"({v[0]} {v[1]} {v[2]})"
        )
    if kind is Type.TEXTS:
        return t.map(lambda a: f'split({a}, "a")')
    ordered = st.sampled_from([Type.INTEGER, Type.NUMBER, Type.DURATION, Type.SIZE])
    return st.one_of(
        st.tuples(b, st.sampled_from(["and", "or"]), b).map(lambda v: f"({v[0]} {v[1]} {v[2]})"),
        b.map(lambda a: f"not {a}"),
        st.tuples(t, ts).map(lambda v: f"({v[0]} in {v[1]})"),
        st.tuples(t, t).map(lambda v: f"starts_with({v[0]}, {v[1]})"),
        t.map(lambda a: f'matches({a}, "^a+(b|/)*$")'),
        ordered.flatmap(
            lambda k: st.tuples(strategies[k], st.sampled_from(["<", ">=", "=="]), strategies[k])
        ).map(lambda v: f"({v[0]} {v[1]} {v[2]})"),
    )


def node_count(checked: Any) -> int:
    return 1 + sum(node_count(part) for part in checked.operands)


RANDOM_EXPRESSIONS = expressions()
RANDOM_REQUESTS = st.builds(
    Request,
    method=st.sampled_from(["POST", "GET"]),
    path=st.text(max_size=20),
    parts=st.lists(st.text(max_size=5), max_size=3).map(tuple),
    headers=st.dictionaries(st.just("x-a"), st.text(max_size=20)),
    body_size=st.integers(0, 1 << 20),
    time_left=st.integers(0, 10**12),
)


@given(text=RANDOM_EXPRESSIONS[Type.BOOLEAN], random_request=RANDOM_REQUESTS)
@settings(max_examples=400)
def test_well_typed_expressions_never_raise_and_compile_to_the_same_value(
    text: str, random_request: Request
) -> None:
    try:
        checked = check_expression(parse_expression(text), Type.BOOLEAN)
    except ExpressionError as error:
        assert "deeper" in str(error) or "longer" in str(error)  # the only errors of a well-typed expression
        return
    value = evaluate(checked, random_request)
    assert value is compile_expression(checked)(random_request)
    assert isinstance(value, bool)
    assert checked.cost >= node_count(checked)  # each node is evaluated at most once and costs at least 1


def test_every_function_and_variable_has_an_example() -> None:
    texts = " ".join(EXPECTED_VALUES)
    missing = [name for name in (*FUNCTIONS, *VARIABLES) if name not in texts]
    assert not missing


# Files

LIMITS_HEADER = "[limits.plain]"
INVALID_FILES: dict[str, tuple[str, str, str]] = {
    "unknown key": ("version = 1", "version = 1\nvresion = 2", "vresion"),
    "unknown key of a limit": (LIMITS_HEADER, LIMITS_HEADER + '\ntimout = "1 s"', "timout"),
    "newer version": ("version = 1", "version = 2", "at most 1"),
    "no version": ("version = 1", "", "version"),
    "not TOML": ("[limits.plain]", "[limits.plain", "TOML"),
    "unit missing": ('timeout = "8 s"', 'timeout = "8"', "duration"),
    "unit missing, a number": ('timeout = "8 s"', "timeout = 8", "duration"),
    "unit doubled": ('timeout = "8 s"', 'timeout = "8 s s"', "duration"),
    "two units": ('timeout = "8 s"', 'timeout = "8 s 5 ms"', "duration"),
    "negative time": ('timeout = "8 s"', 'timeout = "-8 s"', "duration"),
    "wrong unit": ('timeout = "8 s"', 'timeout = "8 KiB"', "duration"),
    "timeout past the deadline": ('timeout = "8 s"', 'timeout = "10 s"', "9984 ms, the class's giveUp"),
    "timeout far past the deadline": ('timeout = "8 s"', 'timeout = "3 h"', "giveUp"),
    "timeout under a tick": ('timeout = "8 s"', 'timeout = "1 ms"', "tick"),
    "four attempts": ("attempts = 2", "attempts = 4", "at most 3"),
    "no attempts": ("attempts = 2", "attempts = 0", "attempts"),
    "half an attempt": ("attempts = 2", "attempts = 1.5", "attempts"),
    "two at once": (LIMITS_HEADER, LIMITS_HEADER + "\nat_once = 2", "concurrent attempts"),
    "resend of a booking": ('resend = "never ran"', 'resend = "may have run"', "must not run twice"),
    "unknown resend": ('resend = "never ran"', 'resend = "always"', "resend"),
    "wanted past the deadline": (LIMITS_HEADER, LIMITS_HEADER + '\nwanted = "11 s"', "wanted"),
    "pause too long": ('pause = "20 ms"', 'pause = "25 s"', "don't fit"),
    "budget over the factor": ("share = 0.2", "share = 0.6", "multiply load by 1.6"),
    "budget over its maximum": ("share = 0.2", "share = 20", "share"),
    "budget negative": ("share = 0.2", "share = -1", "share"),
    "nested budgets": (
        "[limits.farm]",
        "[limits.farm]\nretry_budget = { share = 0.3 }",
        "multiply load by 1.56",
    ),
    "no open jobs": ("most_open = 4", "most_open = 0", "most_open"),
    "no held jobs": ("most_held = 2", "most_held = 0", "most_held"),
    "no rate": ("per_second = 5", "per_second = 0", "per_second"),
    "rate too low": ("per_second = 5", "per_second = 0.0000001", "at least one job per hour"),
    "no burst": ("burst = 3", "burst = 0", "burst"),
    "rate by an unknown attribute": ('by = "tenant"', 'by = "moon"', "by"),
    "rate by a tenant that is not given": ("tenant = 'header(\"x-farm\")'\n", "", "by tenant"),
    "rate by a key that is not given": ('by = "tenant"', 'by = "key"', "by key"),
    "no body": (LIMITS_HEADER, LIMITS_HEADER + '\nbody_size = "0 B"', "size"),
    "body too large": (LIMITS_HEADER, LIMITS_HEADER + '\nbody_size = "1 MiB"', "64 KiB"),
    "retry_after too long": (LIMITS_HEADER, LIMITS_HEADER + '\nretry_after = "1 min"', "at most 2000 ms"),
    "adaptive least over most": (
        LIMITS_HEADER,
        LIMITS_HEADER + "\nadaptive = { least = 9, most = 3 }",
        "least",
    ),
    "adaptive and fixed": ("most_open = 4", "most_open = 4\nadaptive = { least = 1 }", "not both"),
    "unknown class": ('class = "map"', 'class = "mpa"', "unknown class 'mpa'; expected one of book, map"),
    "unknown limits": ('"plain", "farm"', '"plain", "frm"', "unknown limits 'frm'"),
    "duplicate name": ('name = "maps"', 'name = "booking"', "is defined already"),
    "invalid name": ('name = "maps"', 'name = "ma ps"', "name"),
    "no class": ('class = "map"\n', "", "class"),
    "key of numbers": ("tenant = 'header(\"x-farm\")'", "tenant = '1'", "expected text, got whole number"),
    "when of text": ("body_size < 32KiB'", "body_size < 32KiB and path'", "expected boolean, got text"),
    "when of two types": ("body_size < 32KiB'", "body_size < 32'", "size < whole number"),
    "when without end": ("body_size < 32KiB'", "('", "unexpected end"),
    "backtracking": ("body_size < 32KiB'", r"""matches(path, "(a*)*\\1")'""", "linear time"),
    "cost over the limit": ("version = 1", "version = 1\ncost_limit = 5", "expected at most 5"),
    "no routes": ("[[routes]]", "[[ruotes]]", "ruotes"),
    "answer 200": ("[[routes]]", "[no_match]\nanswer = 200\n[[routes]]", "answer"),
    "answer 503": ("[[routes]]", "[no_match]\nanswer = 503\n[[routes]]", "answer"),
    "include of a missing file": (
        "version = 1",
        'version = 1\ninclude = ["gone.toml"]',
        "gone.toml: can't be read",
    ),
    "include of itself": ("version = 1", 'version = 1\ninclude = ["routes.toml"]', "no cycle"),
    "priority too high": ('class = "map"', 'class = "map"\npriority = 9', "priority"),
    "empty timeout": ('timeout = "8 s"', 'timeout = ""', "duration"),
    "timeout in words": ('timeout = "8 s"', 'timeout = "soon"', "duration"),
    "a list for a time": ('timeout = "8 s"', "timeout = [8]", "duration"),
    "text for a number": ("attempts = 2", 'attempts = "2"', "attempts"),
    "limits that are no list": ('limits = ["bookings"]', 'limits = "bookings"', "limits"),
    "limits as a list": ("[limits.plain]", "[[limits.plain]]", "limits"),
    "load factor under one": ("version = 1", "version = 1\nload_factor = 0.5", "load_factor"),
    "cost limit of 0": ("version = 1", "version = 1\ncost_limit = 0", "cost_limit"),
    "adaptive that never falls": (LIMITS_HEADER, LIMITS_HEADER + "\nadaptive = { backoff = 1.0 }", "backoff"),
    "retry_after without unit": (LIMITS_HEADER, LIMITS_HEADER + '\nretry_after = "2"', "duration"),
    "include that is no list": ("version = 1", 'version = 1\ninclude = "x.toml"', "include"),
    "a million keys": ("burst = 3", "burst = 3, keys = 2000000", "keys"),
}
# each invalid expression, also as the condition of a route
INVALID_FILES |= {
    f"when: {text[:40]!r} {n}": (
        "when = 'starts_with(path, \"/map/\") and body_size < 32KiB'",
        f"when = {json.dumps(text)}",
        reason,
    )
    for n, (text, reason) in enumerate(INVALID_EXPRESSIONS.items())
    if "\n" not in text
}


def test_at_least_a_hundred_invalid_files_are_tested() -> None:
    assert len(INVALID_FILES) >= 100


@pytest.mark.parametrize("name", INVALID_FILES)
def test_an_invalid_file_is_rejected_and_the_running_routes_stay(name: str, tmp_path: Path) -> None:
    old, new, reason = INVALID_FILES[name]
    assert old in VALID_FILE
    router = Router(make_table(VALID_FILE, tmp_path))
    assert isinstance(router.admit(request(x_farm="a"), SECOND), Ticket)
    before = router.counts(), [r.route for r in router.table.routes]
    with pytest.raises(RoutesError) as rejected:
        router.replace_table(make_table(VALID_FILE.replace(old, new, 1), tmp_path))
    assert reason in str(rejected.value) or reason.split(":")[-1].strip() in str(rejected.value)
    assert str(rejected.value).startswith(str(tmp_path))
    assert (router.counts(), [r.route for r in router.table.routes]) == before


def test_includes_are_combined_and_errors_name_the_included_file(tmp_path: Path) -> None:
    (tmp_path / "more.toml").write_text('version = 1\n[[routes]]\nname = "last"\nclass = "nope"\n')
    with pytest.raises(RoutesError, match=r"more\.toml: `routes\[0\]`: class: unknown class 'nope'"):
        make_table(VALID_FILE.replace("version = 1", 'version = 1\ninclude = ["more.toml"]'), tmp_path)
    (tmp_path / "more.toml").write_text('version = 1\n[[routes]]\nname = "last"\nclass = "map"\n')
    joined = make_table(VALID_FILE.replace("version = 1", 'version = 1\ninclude = ["more.toml"]'), tmp_path)
    assert [r.route.name for r in joined.routes] == ["booking", "maps", "last"]
    assert joined.find(request("/else")).route.name == "last"  # type: ignore[union-attr]


def test_the_routes_file_of_the_deployment_matches_routing_by_path_and_cookie() -> None:
    names = ("coverage-map", "fault-decode", "service-booking")
    site = replace(
        DISPATCHER_SETTINGS,
        classes=tuple(replace(DISPATCHER_SETTINGS.classes[0], name=name) for name in names),
    )
    routes = RoutingTable(load_routes(Path(__file__).parents[1] / "deploy" / "routes.toml"), site)
    for name in names:
        found = routes.find(request(f"/{name}/7?x=1", cookie="a=b; sid=7f3a"))
        assert found is not None and found.key is not None
        assert (found.cls.name, found.key(request("/x", cookie="a=b; sid=7f3a"))) == (name, "7f3a")
    assert routes.find(request("/else")) is None and not routes.findings()


def test_unreachable_and_overlapping_routes_are_found(tmp_path: Path) -> None:
    more = """
[[routes]]
name = "shadowed"
when = 'part(0) == "book" and "POST" == method and zone == "a"'
class = "map"
[[routes]]
name = "also-book"
when = 'part(0) == "book"'
class = "map"
[[routes]]
name = "get-book"
when = 'part(0) == "book" and method == "GET"'
class = "map"
"""
    found = {(f.kind, f.route, f.other) for f in make_table(VALID_FILE + more, tmp_path).findings()}
    assert ("unreachable", "shadowed", "booking") in found
    assert ("overlap", "also-book", "booking") in found
    assert ("unreachable", "get-book", "also-book") in found
    assert not any(f[1] == "get-book" and f[2] == "booking" for f in found)  # GET and POST exclude each other


def test_many_routes_are_indexed_by_path(tmp_path: Path) -> None:
    text = "version = 1\n" + "".join(
        f'[[routes]]\nname = "r{n}"\nwhen = \'part(0) == "map" and part(1) == "f{n}"\'\nclass = "map"\n'
        for n in range(2000)
    )
    many = make_table(text, tmp_path)
    assert list(many.candidates(request("/map/f1234/x"))) == [1234]
    assert many.find(request("/map/f1999")).route.name == "r1999"  # type: ignore[union-attr]
    assert many.worst_cost < 100  # far less than the cost of all 2000 conditions


# Limits


def test_a_retry_budget_bounds_the_load_of_a_retry_storm() -> None:
    budget, now, retries = RetryBudget(0.2, 1.0), SECOND, 0
    for _ in range(10_000):  # 100 per second, every attempt fails
        now += SECOND // 100
        budget.record_first_attempt(now)
        retries += budget.try_spend(now)
    assert retries <= 10_000 * 0.2 + 100 * 1.0 + budget.refill_cap + 21
    assert retries >= 10_000 * 0.2
    copied = copy.copy(budget)
    # a clock that goes backwards neither fills nor locks the budget
    spent = copied.try_spend(now - 5 * SECOND)
    assert spent == (budget.tokens >= 1)
    assert copied.tokens == budget.tokens - spent
    assert copied.try_spend(now + SECOND)  # the minimum rate has filled it by one retry since ``now``


@given(
    gaps=st.lists(st.integers(0, 2 * SECOND), min_size=1, max_size=60),
    rate=st.sampled_from([0.5, 2.0, 10.0]),
    burst=st.integers(1, 8),
)
def test_a_rate_limiter_admits_no_more_than_burst_and_rate(gaps: list[int], rate: float, burst: int) -> None:
    limiter, now, admitted = RateLimiter(rate, burst, 10), SECOND, []
    for gap in gaps:
        now += gap
        wait = limiter.reserve("k", now)
        if not wait:
            admitted.append(now)
        else:  # the returned wait is exact: just before its end the limiter rejects, after it admits
            copied = copy.deepcopy(limiter)
            assert copied.reserve("k", now + wait - 2) or wait <= 2
            assert not copy.deepcopy(limiter).reserve("k", now + wait + 1)
    for first in range(len(admitted)):
        for last in range(first, len(admitted)):
            assert last - first + 1 <= burst + rate * (admitted[last] - admitted[first]) / SECOND + 1e-6


def test_the_keys_of_a_rate_limiter_stay_bounded() -> None:
    limiter = RateLimiter(1.0, 5, 1000)
    for n in range(100_000):
        limiter.reserve(str(n), SECOND + n * 10_000)
    assert len(limiter) == 1000
    before = copy.deepcopy(limiter)
    # a clock that goes backwards is treated as one that stands still
    assert limiter.reserve("99999", 5) == before.reserve("99999", before._latest_time)
    # each evicted key can have its burst again: the inaccuracy that the class documents
    assert limiter.early_evictions == 99_000


def test_limits_reject_and_keep_their_counters_over_a_reload(tmp_path: Path) -> None:
    router, now = Router(make_table(VALID_FILE, tmp_path)), 10 * SECOND
    tickets = [router.admit(request(x_farm="a"), now) for _ in range(5)]
    assert [type(t) for t in tickets[:3]] == [Ticket] * 3
    rejection = tickets[3]
    assert isinstance(rejection, Rejection) and (rejection.status, rejection.reason) == (429, "over its rate")
    assert 0 < rejection.retry_after <= SECOND // 5 + 1
    assert isinstance(router.admit(request(x_farm="b"), now), Ticket)  # another tenant, the fourth open job
    full = router.admit(request(x_farm="c"), now)
    assert isinstance(full, Rejection) and full.reason == "too many open"
    assert router.counts()["farm"]["open"] == 4
    router.replace_table(make_table(VALID_FILE.replace("most_open = 4", "most_open = 5"), tmp_path))
    assert router.counts()["farm"]["open"] == 4  # the reload does not reset the counter
    again = router.admit(request(x_farm="a"), now)
    assert isinstance(again, Rejection) and again.reason == "over its rate"
    assert isinstance(router.admit(request(x_farm="d"), now), Ticket)
    for ticket in tickets[:3]:
        assert isinstance(ticket, Ticket)
        ticket.ended(now, in_time=True)
        ticket.ended(now, in_time=True)  # repeated calls have no effect
    assert router.counts()["farm"]["open"] == 2  # tickets from before the reload still release their places
    held = [router.admit(request("/book/1"), now) for _ in range(3)]
    assert isinstance(held[2], Rejection) and held[2].reason == "too many held"
    assert isinstance(held[0], Ticket)
    held[0].first_attempt(now)
    assert isinstance(router.admit(request("/book/1"), now), Ticket)
    assert isinstance(router.admit(request("/nothing"), now), Rejection)


def test_routes_of_low_priority_may_use_only_a_part_of_a_limit(tmp_path: Path) -> None:
    """A route of priority 4 may use (4 + 1) / 9 of the limit of four open jobs: two."""
    low_priority = """
[[routes]]
name = "low"
when = 'part(0) == "low"'
class = "map"
priority = 4
limits = ["farm"]
tenant = 'part(1)'
"""
    router = Router(make_table(VALID_FILE + low_priority, tmp_path))
    admissions = [type(router.admit(request(f"/low/{n}"), SECOND)) for n in range(4)]
    assert admissions == [Ticket, Ticket, Rejection, Rejection]
    assert [type(router.admit(request(x_farm=f"f{n}"), SECOND)) for n in range(3)] == [
        Ticket,
        Ticket,
        Rejection,
    ]


# The commands


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": SETTINGS}))
    return path


def test_the_config_commands_check_show_explain_and_compare(tmp_path: Path, settings_file: Path) -> None:
    path, other = tmp_path / "routes.toml", tmp_path / "other.toml"
    path.write_text(VALID_FILE)
    other.write_text(VALID_FILE.replace("most_open = 4", "most_open = 9"))
    settings_options = ["--settings", str(settings_file)]

    def run(*words: str, code: int = 0) -> str:
        result = CliRunner().invoke(app, ["config", *words])
        assert result.exit_code == code, result.output
        return result.output

    assert "valid: 2 routes, 3 limits" in run("check", str(path), *settings_options)
    assert json.loads(run("check", str(path), *settings_options, "--json"))["findings"] == []
    assert "timeout = 8000000000   #" in run("show", str(path), *settings_options)
    explained = json.loads(
        run("explain", str(path), "/map/7", *settings_options, "-H", "X-Farm: Hof", "--json")
    )
    assert (explained["route"], explained["tenant"], explained["limits"]["attempts"]["value"]) == (
        "maps",
        "Hof",
        2,
    )
    assert [line["result"] for line in explained["looked_at"]] == [
        "not looked at: the path does not begin with /book",
        "matches",
    ]
    assert "answered with 400" in run("explain", str(path), "/map/../book", *settings_options)
    assert "answered with 404" in run("explain", str(path), "/else", *settings_options)
    assert run("diff", str(path), str(path), *settings_options) == ""
    assert "most_open" in run("diff", str(path), str(other), *settings_options, code=1)
    path.write_text(VALID_FILE.replace("attempts = 2", "attempts = 9"))
    rejected = run("check", str(path), *settings_options, code=2)
    assert len(rejected.strip().splitlines()) == 1 and "attempts" in rejected


def test_the_schema_has_every_key_of_a_valid_file() -> None:
    text = json.dumps(schema())
    for key in (*tomllib.loads(VALID_FILE), "timeout", "retry_budget", "no_match", "cost_limit"):
        assert f'"{key}"' in text


# Dispatchers on sockets

SERVED_FILE = """
version = 1
[limits.once]
attempts = 1
[limits.short]
timeout = "150 ms"
attempts = 2
[limits.few]
rate = { per_second = 0.5, burst = 1, by = "all" }
[[routes]]
name = "few"
when = 'part(0) == "few"'
class = "map"
limits = ["few"]
[[routes]]
name = "once"
when = 'part(0) == "uploads" and header("x-kind") == "once"'
class = "map"
limits = ["once"]
[[routes]]
name = "uploads"
when = 'part(0) == "uploads"'
class = "map"
key = 'cookie("sid")'
[[routes]]
name = "short"
when = 'part(0) == "short"'
class = "book"
limits = ["short"]
"""
FULL_ANSWER = answer(503, "X-Not-Processed: 1\\r\\n")
COOKIE_HEADER = "Cookie: sid=1\\r\\n"
ONCE_HEADER = "X-Kind: once\\r\\n"
SCENARIOS = {
    "a route gives a path its class": f"""
        c1 send {job(path="uploads/7", more=COOKIE_HEADER)}
        p1 expect POST /uploads/7 HTTP/1.1
        p1 send {answer(202)}
        c2 send {call_back("done", result="out")}
        c1 expect HTTP/1.1 200 .*out$
        """,
    "a request without a matching route gets the configured answer": f"""
        c1 send {job(path="map/x")}
        c1 expect HTTP/1.1 404 .*no route
        """,
    "an ambiguous path is rejected before routing": f"""
        c1 send {job(path="uploads/../few")}
        c1 expect HTTP/1.1 400 .*path
        """,
    "a route with one attempt: no retry": f"""
        c1 send {job(path="uploads/7", more=ONCE_HEADER)}
        p1 expect POST /uploads/7
        p1 send {FULL_ANSWER}
        c1 expect HTTP/1.1 503
        p2 silent 60
        """,
    "a route without a limit of attempts: the settings' number": f"""
        c1 send {job(path="uploads/7")}
        p1 expect POST /uploads/7
        p1 send {FULL_ANSWER}
        p2 expect POST /uploads/7
        """,
    "over a rate: 429 with Retry-After, and the id can be used again": f"""
        c1 send {job(path="few/1")}
        p1 expect POST /few/1
        c2 send {job("j2", path="few/1")}
        c2 expect HTTP/1.1 429 .*Retry-After: (1.9|2.0)
        c2 send {job("j2", path="uploads/1")}
        p2 expect X-Request-ID: j2
        """,
    "the route's attempt timeout applies; a booking is not sent again": f"""
        c1 send {job(path="short/1", ms=20000)}
        p1 expect POST /short/1 .*X-Timeout-Ms: 1[0-9][0-9]\\r
        p1 send {answer(202)}
        c1 expect HTTP/1.1 500
        p2 silent 60
        """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_routes_on_sockets(name: str, tmp_path: Path) -> None:
    path = tmp_path / "routes.toml"
    path.write_text(SERVED_FILE)
    Harness(routes=path).run(SCENARIOS[name])


def test_a_reload_applies_the_whole_file_or_nothing(tmp_path: Path) -> None:
    path = tmp_path / "routes.toml"
    path.write_text(SERVED_FILE)
    harness = Harness(routes=path)
    try:
        running_router = harness.dispatcher.server.router
        assert isinstance(running_router, Router)
        before = running_router.table
        for invalid in (
            SERVED_FILE.replace("attempts = 1", "attempts = 9"),
            'include = ["gone.toml"]\n' + SERVED_FILE,
        ):
            path.write_text(invalid)
            with pytest.raises(ConfigError, match=r"routes\.toml|gone\.toml"):
                harness.dispatcher.reload(replace(harness.config, discovery=("127.0.0.1", 1)))
            assert harness.dispatcher.server.router.table is before  # type: ignore[union-attr]
            assert harness.dispatcher.discovery._source.address == harness.config.discovery
        path.write_text(SERVED_FILE.replace('name = "few"', 'name = "fewer"'))
        harness.dispatcher.reload(harness.config)
        assert harness.dispatcher.server.router is running_router
        assert running_router.table.routes[0].route.name == "fewer"
    finally:
        harness.close()
