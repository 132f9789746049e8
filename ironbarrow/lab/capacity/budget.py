"""The target size with its budgets, and which of its requirements the program meets according to the measured
slopes."""

import enum
from dataclasses import dataclass

from ironbarrow.lab.capacity.fit import Fit

# Target size
WORKERS = 830
ACCELERATORS = 2_000
JOBS_PER_DAY = 5_900
STARTS_PER_S = 70  # at the peak
RUNNING_TASKS = 3_800
MAX_GANG_TASKS = 64
TEAMS = 290
URGENT_START_LIMIT_S = 1.5
REGIONS = 2
ZONES = 7
CONFIGURATIONS_PER_DAY = 460
CONFIGURATION_LIMIT_S = 11
CONTROL_MACHINES = 4
FAILURES_PER_DAY = 8
REPLACEMENTS_PER_DAY = 250
REGION_CUT_S = 3_600

# Budgets of one dispatcher for control traffic and its processing
CPU_BUDGET_CORES = 0.032
MEMORY_BUDGET_MB = 64.0
TRAFFIC_BUDGET_BYTES_PER_S = 15_000.0

# Assumptions
DISPATCHERS = 230  # the size of the largest runs
CLIENT_SLOTS = 542  # jobs that one dispatcher accepts at once: seven eighths of its 620 connection slots
LIST_PERIOD_S = 1.0  # between two updates of the live weights
TURNS_PER_S = 5  # turns of the decisions that no event triggers: one in each service period
DAY_S = 86_400


class Verdict(enum.Enum):
    """Whether the program meets a requirement of the target. The values are shown in the tables."""

    WITHIN_BUDGET = "carried"
    OVER_BUDGET = "over budget"
    UNSUPPORTED = "no mechanism"


@dataclass(frozen=True, slots=True)
class Requirement:
    """One requirement of the target, a row of the tables. ``budget_share``: the share of its budget that is
    used; None where nothing is measured."""

    name: str
    target: str
    verdict: Verdict
    mechanism: str
    figure: str
    budget_share: float | None = None

    @property
    def overrun(self) -> float:
        """The factor by which the budget is exceeded; 0 if it is not."""
        return self.budget_share if self.budget_share is not None and self.budget_share > 1 else 0.0


@dataclass(frozen=True, slots=True)
class Slopes:
    """Measured costs; a ``Fit`` where a cost grows with a size."""

    # at the assumed number of dispatchers, sent by a member per second while nothing fails
    member_bytes: float
    death_bytes: float  # in addition, per member and second, after a death
    heal_bytes: float  # in addition, per member and second, in the minute after a region cut
    list_bytes: Fit  # of an update of all live weights, by workers
    change_bytes: int  # of an update of one worker
    start_bytes: Fit  # of ledger messages in the whole fleet, by job starts
    # of take-over messages per job and member, where a call-back may reach any dispatcher
    callback_lookup_bytes: float
    waits_bytes: float  # for starvation, sent by a member per second at the assumed number of dispatchers
    observed_bytes: Fit  # of one member's report per second in a rollout, by workers used
    replica_row_bytes: Fit  # held by a replica, by running jobs
    cut_share: float  # share of ledgers without a majority while the regions are partitioned
    list_cpu_ms: Fit  # of an update of all live weights, by workers
    member_cpu_ms: float  # per member and second
    start_cpu_ms: float  # per job, of its writer and replicas together
    full_turn_ms: Fit  # of a turn in which jobs wait and all workers are full, by workers
    idle_mb: float  # resident memory of a dispatcher process in a small fleet
    worker_kb: Fit  # of resident memory, by workers listed
    member_kb: Fit  # of resident memory, by members


def control_bytes_by_component(slopes: Slopes, dispatchers: int) -> dict[str, float]:
    """Bytes per second that one dispatcher sends and receives for control, without failures and at the peak
    rate of job starts. What one member sends another receives, so that a member's mean is twice what it
    sends."""
    starts = STARTS_PER_S / dispatchers
    return {
        "members": 2 * slopes.member_bytes,
        "list, live weights": slopes.list_bytes.at(WORKERS) / LIST_PERIOD_S,
        "ledgers": 2 * slopes.start_bytes.slope * starts,
        "tables of waits": 2 * slopes.waits_bytes,
    }


def control_cpu_by_component(slopes: Slopes, dispatchers: int) -> dict[str, float]:
    """CPU cores that one dispatcher uses for control, without failures and at the peak rate of job starts."""
    starts = STARTS_PER_S / dispatchers
    return {
        "members": slopes.member_cpu_ms / 1000,
        "list, live weights": slopes.list_cpu_ms.at(WORKERS) / LIST_PERIOD_S / 1000,
        "ledgers": slopes.start_cpu_ms * starts / 1000,
    }


def _requirement(name: str, target: str, budget_share: float, mechanism: str, figure: str) -> Requirement:
    verdict = Verdict.WITHIN_BUDGET if budget_share <= 1 else Verdict.OVER_BUDGET
    return Requirement(name, target, verdict, mechanism, figure, budget_share)


def _unsupported(name: str, target: str, reason: str) -> Requirement:
    return Requirement(name, target, Verdict.UNSUPPORTED, reason, "-")


def evaluate(slopes: Slopes, dispatchers: int = DISPATCHERS) -> list[Requirement]:
    """The requirements of the target with their verdicts, in the order of the tables."""
    traffic = control_bytes_by_component(slopes, dispatchers)
    cores = control_cpu_by_component(slopes, dispatchers)
    return [
        *_worker_view(slopes, traffic, cores),
        *_members(slopes, traffic),
        *_ledgers(slopes, traffic, dispatchers),
        _regions_apart(slopes),
        *_occasional_costs(slopes, dispatchers),
        *_control_totals(traffic, cores, slopes, dispatchers),
        *_unsupported_requirements(),
    ]


def _worker_view(slopes: Slopes, traffic: dict[str, float], cores: dict[str, float]) -> list[Requirement]:
    changes = 4 * (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) * slopes.change_bytes / DAY_S
    live, cpu = traffic["list, live weights"], cores["list, live weights"]
    # each job changes a weight at its start and at its end
    changed_workers = min(WORKERS, 2 * STARTS_PER_S * LIST_PERIOD_S)
    changed_bytes = slopes.list_bytes.at(changed_workers) / LIST_PERIOD_S
    return [
        _requirement(
            "worker view, nominal weights",
            f"{WORKERS} workers, {REPLACEMENTS_PER_DAY} replaced a day",
            changes / TRAFFIC_BUDGET_BYTES_PER_S,
            "changes alone are told (discovery client)",
            f"{changes:.1f} B/s at four changes of each worker replaced or lost",
        ),
        _requirement(
            "worker view, live weights",
            f"{WORKERS} workers, {TRAFFIC_BUDGET_BYTES_PER_S / 1000:.0f} KB/s",
            live / TRAFFIC_BUDGET_BYTES_PER_S,
            "a list of all weights each second (discovery client)",
            f"{live / 1000:.1f} KB/s",
        ),
        _requirement(
            "worker view, live weights that have changed alone",
            f"{STARTS_PER_S} starts/s and as many ends",
            changed_bytes / TRAFFIC_BUDGET_BYTES_PER_S,
            "where the discovery service leaves out the others",
            f"{changed_bytes / 1000:.1f} KB/s",
        ),
        _requirement(
            "worker view, live weights: CPU",
            f"{WORKERS} workers, {CPU_BUDGET_CORES:.1%} of a core",
            cpu / CPU_BUDGET_CORES,
            "JSON, entries, ring (discovery client, decisions)",
            f"{cpu:.2%} of a core",
        ),
    ]


def _members(slopes: Slopes, traffic: dict[str, float]) -> list[Requirement]:
    death, heal = (traffic["members"] + 2 * extra for extra in (slopes.death_bytes, slopes.heal_bytes))
    budget = f"{TRAFFIC_BUDGET_BYTES_PER_S / 1000:.0f} KB/s"
    return [
        _requirement(
            "members, calm",
            budget,
            traffic["members"] / TRAFFIC_BUDGET_BYTES_PER_S,
            "SWIM with suspicion",
            f"{traffic['members'] / 1000:.2f} KB/s",
        ),
        _requirement(
            "members, half a minute after a death",
            budget,
            death / TRAFFIC_BUDGET_BYTES_PER_S,
            "rumours, tries of the dead",
            f"{death / 1000:.2f} KB/s",
        ),
        _requirement(
            "members, a minute after a region cut",
            budget,
            heal / TRAFFIC_BUDGET_BYTES_PER_S,
            "rumours, comparison of lists",
            f"{heal / 1000:.2f} KB/s",
        ),
    ]


def _ledgers(slopes: Slopes, traffic: dict[str, float], dispatchers: int) -> list[Requirement]:
    client_slots = CLIENT_SLOTS * dispatchers
    held_mb = 3 * slopes.replica_row_bytes.slope * RUNNING_TASKS / dispatchers / 1e6
    return [
        _requirement(
            "starts written down",
            f"{STARTS_PER_S} starts/s",
            traffic["ledgers"] / TRAFFIC_BUDGET_BYTES_PER_S,
            "one writer, three replicas",
            f"{traffic['ledgers'] / 1000:.2f} KB/s",
        ),
        _requirement(
            "running tasks, as records",
            f"{RUNNING_TASKS} tasks, {MEMORY_BUDGET_MB:.0f} MB",
            held_mb / MEMORY_BUDGET_MB,
            "a row at each of three replicas",
            f"{held_mb:.3f} MB a dispatcher",
        ),
        _requirement(
            "running tasks, as connections of clients",
            f"{RUNNING_TASKS} tasks",
            RUNNING_TASKS / client_slots,
            "a client's connection for each",
            f"{RUNNING_TASKS / dispatchers:.1f} of {CLIENT_SLOTS} places a dispatcher",
        ),
    ]


def _regions_apart(slopes: Slopes) -> Requirement:
    """Over budget if any ledger loses its majority: its writer accepts no unsafe jobs until it has one
    again."""
    share = slopes.cut_share
    return Requirement(
        "ledgers while regions are apart",
        "2 regions, an hour",
        Verdict.OVER_BUDGET if share else Verdict.WITHIN_BUDGET,
        "replicas by zone; regions are not known to the choice",
        f"{share:.0%} of writers without a majority until they begin anew",
    )


def _occasional_costs(slopes: Slopes, dispatchers: int) -> list[Requirement]:
    """Costs of exceptional situations. The rollout's is an upper bound: it assumes that every running task
    ends and starts anew in each second."""
    starts = STARTS_PER_S / dispatchers
    lookup_bytes = 2 * slopes.callback_lookup_bytes * (dispatchers - 1) * starts
    report_bytes = slopes.observed_bytes.at(RUNNING_TASKS / dispatchers) * (dispatchers - 1)
    turns = TURNS_PER_S + 1 / LIST_PERIOD_S + 2 * starts
    scan = slopes.full_turn_ms.at(WORKERS) / 1000 * turns
    return [
        _requirement(
            "call-backs that reach any dispatcher",
            f"{STARTS_PER_S} starts/s",
            lookup_bytes / TRAFFIC_BUDGET_BYTES_PER_S,
            "passed on to all members",
            f"{lookup_bytes / 1000:.1f} KB/s",
        ),
        _requirement(
            "a rollout under way, its coordinator",
            f"{WORKERS} workers",
            report_bytes / TRAFFIC_BUDGET_BYTES_PER_S,
            "every member tells each second of the workers that it uses",
            f"{report_bytes / 1000:.0f} KB/s at most",
        ),
        _requirement(
            "jobs that wait while all workers are full",
            f"{WORKERS} workers, {CPU_BUDGET_CORES:.1%} of a core",
            scan / CPU_BUDGET_CORES,
            "first fit over all workers for nine jobs in each turn",
            f"{scan:.0%} of a core at {turns:.1f} turns/s",
        ),
    ]


def _control_totals(
    traffic: dict[str, float], cores: dict[str, float], slopes: Slopes, dispatchers: int
) -> list[Requirement]:
    held_mb = slopes.idle_mb + (slopes.worker_kb.at(WORKERS) + slopes.member_kb.at(dispatchers)) / 1024
    return [
        _requirement(
            "control, bytes in all",
            f"{TRAFFIC_BUDGET_BYTES_PER_S / 1000:.0f} KB/s a dispatcher",
            sum(traffic.values()) / TRAFFIC_BUDGET_BYTES_PER_S,
            "all of the above, calm",
            f"{sum(traffic.values()) / 1000:.1f} KB/s",
        ),
        _requirement(
            "control, CPU in all",
            f"{CPU_BUDGET_CORES:.1%} of a core a dispatcher",
            sum(cores.values()) / CPU_BUDGET_CORES,
            "all of the above, calm",
            f"{sum(cores.values()):.2%}",
        ),
        _requirement(
            "control, memory",
            f"{MEMORY_BUDGET_MB:.0f} MB a dispatcher",
            held_mb / MEMORY_BUDGET_MB,
            "the whole process, its list and members",
            f"{held_mb:.1f} MB",
        ),
    ]


def _unsupported_requirements() -> list[Requirement]:
    return [
        _unsupported(
            "configuration in force everywhere",
            f"{CONFIGURATIONS_PER_DAY} a day, within {CONFIGURATION_LIMIT_S} s",
            "a file and SIGHUP for each process; nobody knows which has it",
        ),
        _unsupported(
            "quotas over all dispatchers",
            f"{TEAMS} teams",
            "an equal part of a rate at each dispatcher; nothing counts accelerators in use over the fleet",
        ),
        _unsupported(
            "urgent work",
            f"started within {URGENT_START_LIMIT_S} s",
            "`classPriority` is read and not used; nothing that runs gives way",
        ),
        _unsupported("gangs", f"up to {MAX_GANG_TASKS} tasks at once", "each job is placed on its own"),
    ]
