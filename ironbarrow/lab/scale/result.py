"""Results of a scale run as typed data, as JSON and as Markdown tables."""

from collections.abc import Callable
from pathlib import Path

import msgspec
from msgspec import Struct

from ironbarrow.lab.scale.meters import LATE_MS
from ironbarrow.lab.scale.target import CPU_BUDGET_PERCENT, MEMORY_BUDGET_MB, TRAFFIC_BUDGET_BYTES

LATE = "late"  # shown in place of a value
REAL, HOLLOW, WORKERS = "real dispatcher", "hollow dispatchers", "hollow workers"  # roles of processes
LEADER = "lists and jobs"


class Rate(Struct):
    """Messages and bytes per second of one kind, for one dispatcher."""

    kind: str
    messages: float
    bytes: float


class PropagationTime(Struct):
    """How long a change took until its recipients saw it. ``told`` of ``expected`` recipients did."""

    what: str
    p50_ms: float
    p99_ms: float
    last_ms: float
    told: int
    expected: int


class Process(Struct):
    """Resource usage of the processes of a role. For real dispatchers each value is of one process."""

    role: str
    processes: int
    parties: int  # dispatchers or workers in these processes
    cpu_percent_mean: float  # of one core, per process
    cpu_percent_most: float
    resident_mb_mean: float
    resident_mb_most: float
    cpu_percents: list[float] = []  # of each process
    resident_mbs: list[float] = []


class StateSizes(Struct):
    """Sizes of a dispatcher's state, the mean over hollow ones."""

    members: float
    least_members: int
    workers: float
    segments: float
    segment_entries: float
    segment_bytes: float


class Phase(Struct):
    """One part of a run: without faults, or with one kind of fault."""

    name: str
    seconds: float
    late: bool  # the generator was late, so that the values are not the program's
    late_p50_ms: float
    late_p99_ms: float
    load_average: float
    sent: list[Rate]  # by a hollow dispatcher
    received: list[Rate]
    from_real: list[Rate]  # by a real dispatcher, as hollow ones received it
    discovery: list[Rate]  # to a dispatcher
    probes: Rate  # by a dispatcher, requests and answers
    processes: list[Process]
    told: list[PropagationTime]
    held: StateSizes
    jobs: dict[str, int]
    false_deaths: int  # seen of members that ran and were reachable
    # incarnations that a later one of the same process has replaced
    replaced_incarnations: int = msgspec.field(name="replaced_lives")  # the key in stored results
    late_p99_by_role_ms: dict[str, float] = {}
    notes: list[str] = []
    sent_by_type: list[Rate] = []  # by a hollow dispatcher, by type of message


class ScaleResult(Struct):
    """A run at one size."""

    size: str
    workers: int
    dispatchers: int
    real: int
    teams: int
    starts_per_second: float
    # from the readiness of the real dispatchers until all members were known; negative: never
    all_met_after_s: float
    peak_memory_mb: float
    processes: int
    took_s: float
    phases: list[Phase]
    stopped: str = ""  # the reason why it ended early
    errors: int = 0

    @property
    def late(self) -> bool:
        """Whether any phase was late."""
        return any(phase.late for phase in self.phases)

    @property
    def calm(self) -> Phase | None:
        """The phase without faults; None if it was not run."""
        return next((phase for phase in self.phases if phase.name == "calm"), None)


def write(result: ScaleResult, path: Path) -> None:
    """Writes a result as an indented JSON file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read(path: Path) -> ScaleResult:
    """Reads a result file."""
    return msgspec.json.decode(path.read_bytes(), type=ScaleResult)


# Tables


def tables(results: list[ScaleResult]) -> str:
    """All tables as Markdown."""
    ordered = sorted(results, key=lambda result: result.dispatchers)
    parts = [_runs_table(ordered), _calm_table(ordered), _budget_table(ordered), _phases_table(ordered)]
    parts.append(_propagation_table(ordered))
    return "\n\n".join(parts) + "\n"


def _table(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def _runs_table(results: list[ScaleResult]) -> str:
    head = ["size", "workers", "dispatchers (real)", "teams", "starts/s", "processes", "memory, MB"]
    head += ["all members known after, s", "took, s", "late phases", "stopped"]
    rows = [
        [
            result.size,
            str(result.workers),
            f"{result.dispatchers} ({result.real})",
            str(result.teams),
            f"{result.starts_per_second:.1f}",
            str(result.processes),
            f"{result.peak_memory_mb:.0f}",
            f"{result.all_met_after_s:.1f}" if result.all_met_after_s >= 0 else "not",
            f"{result.took_s:.0f}",
            ", ".join(phase.name for phase in result.phases if phase.late) or "none",
            result.stopped or "no",
        ]
        for result in results
    ]
    return _table(head, rows)


def _calm_table(results: list[ScaleResult]) -> str:
    head = ["a dispatcher, calm", *(_size_heading(result) for result in results)]
    calm = [result.calm for result in results]
    rows = []
    sections: list[tuple[str, Callable[[Phase], list[Rate]]]] = [
        ("sent", lambda phase: phase.sent),
        ("received", lambda phase: phase.received),
        ("sent by a real one to hollow ones", lambda phase: phase.from_real),
        ("list of workers", lambda phase: phase.discovery),
    ]
    for title, select_rates in sections:
        kinds = sorted({rate.kind for phase in calm if phase is not None for rate in select_rates(phase)})
        for kind in kinds:
            cells = []
            for phase in calm:
                found = (
                    [rate for rate in select_rates(phase) if rate.kind == kind] if phase is not None else []
                )
                cells.append(_cell(phase, _rate(found[0])) if found else "-")
            rows.append([f"{title}: {kind}", *cells])
    rows.append(
        ["probes, with answers", *(_cell(phase, _rate(phase.probes)) if phase else "-" for phase in calm)]
    )
    values: list[tuple[str, Callable[[StateSizes], float]]] = [
        ("members known", lambda held: held.members),
        ("workers known", lambda held: held.workers),
        ("segments kept for others", lambda held: held.segments),
        ("entries in them", lambda held: held.segment_entries),
        ("bytes of them", lambda held: held.segment_bytes),
    ]
    for title, value in values:
        rows.append([title, *(_cell(phase, f"{value(phase.held):.0f}") if phase else "-" for phase in calm)])
    return "Messages a second; bytes a second:\n\n" + _table(head, rows)


def _size_heading(result: ScaleResult) -> str:
    suffix = " (late)" if result.calm is not None and result.calm.late else ""
    return f"{result.size}{suffix}"


def _cell(phase: Phase | None, text: str) -> str:
    """The text of a cell; ``LATE`` for a late phase, whose values are not the program's."""
    if phase is None:
        return "-"
    return LATE if phase.late else text


def _rate(rate: Rate) -> str:
    return f"{rate.messages:.2f}; {rate.bytes:.0f}"


def control_bytes(phase: Phase) -> float:
    """Bytes per second that a dispatcher sends and receives for control: members, ledgers, lists, probes."""
    rates = [*phase.sent, *phase.received, *phase.discovery, phase.probes]
    return sum(rate.bytes for rate in rates)


def _role(phase: Phase | None, role: str) -> Process | None:
    if phase is None:
        return None
    return next((found for found in phase.processes if found.role == role), None)


def _budget_table(results: list[ScaleResult]) -> str:
    head = ["calm, against the budget", *(_size_heading(result) for result in results), "budget"]
    rows: list[list[str]] = [[title] for title in _BUDGET_TITLES]
    for result in results:
        phase = result.calm
        for row, text in zip(rows, _budget_cells(phase), strict=True):
            row.append(text)
    for row, budget in zip(rows, _BUDGETS, strict=True):
        row.append(budget)
    return _table(head, rows)


_BUDGET_TITLES = (
    "CPU of a real process, % of a core, mean (most)",
    "resident, MB, mean (most)",
    "CPU of a hollow one, % of a core, mean",
    "control, bytes/s both ways",
    "generator late by, ms, p50 / p99",
    "load average",
)
_BUDGETS = (
    f"{CPU_BUDGET_PERCENT}",
    f"{MEMORY_BUDGET_MB:.0f}",
    f"{CPU_BUDGET_PERCENT}",
    f"{TRAFFIC_BUDGET_BYTES:.0f}",
    f"{LATE_MS:.0f} (p99)",
    "",
)


def _budget_cells(phase: Phase | None) -> list[str]:
    real, hollow = _role(phase, REAL), _role(phase, HOLLOW)
    if phase is None or real is None or hollow is None:
        return ["-"] * len(_BUDGET_TITLES)
    per_hollow_dispatcher = hollow.cpu_percent_mean * hollow.processes / max(1, hollow.parties)
    return [
        _cell(phase, f"{real.cpu_percent_mean:.1f} ({real.cpu_percent_most:.1f})"),
        _cell(phase, f"{real.resident_mb_mean:.0f} ({real.resident_mb_most:.0f})"),
        _cell(phase, f"{per_hollow_dispatcher:.2f}"),
        _cell(phase, f"{control_bytes(phase):.0f}"),
        f"{phase.late_p50_ms:.1f} / {phase.late_p99_ms:.1f}",
        f"{phase.load_average:.1f}",
    ]


def _phases_table(results: list[ScaleResult]) -> str:
    head = ["size", "phase", "s", "members and ledgers, bytes/s sent", "lists, bytes/s", "real: CPU %"]
    head += [
        "real: MB",
        "false deaths",
        "incarnations replaced",
        "jobs",
        "late by p50 / p99, ms",
        "load average",
    ]
    rows = [_phase_row(result, phase) for result in results for phase in result.phases]
    return _table(head, rows)


def _phase_row(result: ScaleResult, phase: Phase) -> list[str]:
    real = _role(phase, REAL)
    cells = [
        f"{sum(rate.bytes for rate in phase.sent):.0f}",
        f"{sum(rate.bytes for rate in phase.discovery):.0f}",
        f"{real.cpu_percent_mean:.1f}" if real else "-",
        f"{real.resident_mb_most:.0f}" if real else "-",
        str(phase.false_deaths),
        str(phase.replaced_incarnations),
        ", ".join(f"{count} {how}" for how, count in sorted(phase.jobs.items())) or "-",
    ]
    return [
        result.size,
        phase.name,
        f"{phase.seconds:.0f}",
        *(_cell(phase, cell) for cell in cells),
        f"{phase.late_p50_ms:.1f} / {phase.late_p99_ms:.1f}",
        f"{phase.load_average:.1f}",
    ]


def _propagation_table(results: list[ScaleResult]) -> str:
    head = ["size", "phase", "what", "p50, ms", "p99, ms", "last, ms", "told of expected", "late by p99, ms"]
    rows = [
        _propagation_row(result, phase, told)
        for result in results
        for phase in result.phases
        for told in phase.told
    ]
    return _table(head, rows)


def _propagation_row(result: ScaleResult, phase: Phase, told: PropagationTime) -> list[str]:
    cells = [f"{told.p50_ms:.0f}", f"{told.p99_ms:.0f}", f"{told.last_ms:.0f}"]
    return [
        result.size,
        phase.name,
        told.what,
        *(_cell(phase, cell) for cell in cells),
        f"{told.told} of {told.expected}" if told.expected else str(told.told),
        f"{phase.late_p99_ms:.1f}",
    ]
