"""The target's size and budgets, and what of it today's program carries, by measured slopes."""

import enum
from dataclasses import dataclass

from ironbarrow.lab.capacity.fit import Fit

# The target
WORKERS = 830
ACCELERATORS = 2_000
JOBS_A_DAY = 5_900
STARTS_A_SECOND = 70  # at the peak
RUNNING_TASKS = 3_800
GANG_MOST = 64
TEAMS = 290
URGENT_WITHIN_S = 1.5
REGIONS = 2
ZONES = 7
CONFIGURATIONS_A_DAY = 460
CONFIGURATION_WITHIN_S = 11
CONTROL_MACHINES = 4
FAILURES_A_DAY = 8
REPLACED_A_DAY = 250
REGION_CUT_S = 3_600

# What a dispatcher may spend for control
CORE_PART = 0.032
MEMORY_MB = 64.0
BYTES_A_SECOND = 15_000.0

# Assumed
DISPATCHERS = 230  # as many as the largest trials have had
CLIENT_PLACES = 542  # jobs that one dispatcher holds at once: seven in eight of its 620 places
LIST_PERIOD_S = 1.0  # between two lists of live weights
TURNS_A_SECOND = 5  # of the decisions that no event asks for: one in each service period
DAY_S = 86_400


class Verdict(enum.Enum):
    """What becomes of a line of the target."""

    CARRIED = "carried"
    OVER_BUDGET = "over budget"
    NO_MECHANISM = "no mechanism"


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the target. ``used``: the part of its budget that is used; None: nothing is counted."""

    name: str
    target: str
    verdict: Verdict
    mechanism: str
    figure: str
    used: float | None = None

    @property
    def over_by(self) -> float:
        """The factor over the budget; 0 where it is within."""
        return self.used if self.used is not None and self.used > 1 else 0.0


@dataclass(frozen=True, slots=True)
class Slopes:
    """What was measured: each line by its size."""

    member_bytes: float  # sent by a member a second, calm, at the assumed number of dispatchers
    death_bytes: float  # beyond that, of a member and second, after a death
    heal_bytes: float  # beyond that, of a member and second, over a minute after a region cut
    list_bytes: Fit  # of a list of live weights, by workers
    change_bytes: int  # of a change of one worker
    start_bytes: Fit  # of ledgers over the fleet, by job starts
    stray_bytes: float  # of take-over a job and member, where call-backs reach any dispatcher
    waits_bytes: float  # sent by a member a second, at the assumed number of dispatchers
    observed_bytes: Fit  # of one member's report a second in a rollout, by workers used
    replica_row_bytes: Fit  # of a replica, by running jobs
    cut_share: float  # ledgers without a majority when the regions are apart
    list_cpu_ms: Fit  # of a list of live weights, by workers
    member_cpu_ms: float  # of a member and second
    start_cpu_ms: float  # of a job at its writer and replicas together
    full_turn_ms: Fit  # of a turn in which jobs wait and no worker has room, by workers
    idle_mb: float  # resident memory of a process of a small fleet
    worker_kb: Fit  # of resident memory, by workers listed
    member_kb: Fit  # of resident memory, by members


def bytes_by_concern(slopes: Slopes, dispatchers: int) -> dict[str, float]:
    """Bytes a second that one dispatcher sends and receives for control, calm, at the peak of starts. What
    one sends another receives, so that the mean of both is twice what is sent."""
    starts = STARTS_A_SECOND / dispatchers
    return {
        "members": 2 * slopes.member_bytes,
        "list, live weights": slopes.list_bytes.at(WORKERS) / LIST_PERIOD_S,
        "ledgers": 2 * slopes.start_bytes.slope * starts,
        "tables of waits": 2 * slopes.waits_bytes,
    }


def core_part_by_concern(slopes: Slopes, dispatchers: int) -> dict[str, float]:
    """The part of a core that one dispatcher spends for control, calm, at the peak of starts."""
    starts = STARTS_A_SECOND / dispatchers
    return {
        "members": slopes.member_cpu_ms / 1000,
        "list, live weights": slopes.list_cpu_ms.at(WORKERS) / LIST_PERIOD_S / 1000,
        "ledgers": slopes.start_cpu_ms * starts / 1000,
    }


def _line(name: str, target: str, used: float, mechanism: str, figure: str) -> Line:
    verdict = Verdict.CARRIED if used <= 1 else Verdict.OVER_BUDGET
    return Line(name, target, verdict, mechanism, figure, used)


def _missing(name: str, target: str, why: str) -> Line:
    return Line(name, target, Verdict.NO_MECHANISM, why, "-")


def evaluate(slopes: Slopes, dispatchers: int = DISPATCHERS) -> list[Line]:
    """The lines of the target, in the order in which they are to be taken."""
    sent = bytes_by_concern(slopes, dispatchers)
    core = core_part_by_concern(slopes, dispatchers)
    return [
        *_worker_view(slopes, sent, core),
        *_members(slopes, sent),
        *_ledgers(slopes, sent, dispatchers),
        _regions_apart(slopes),
        *_not_calm(slopes, dispatchers),
        *_all_of_control(sent, core, slopes, dispatchers),
        *_not_there(),
    ]


def _worker_view(slopes: Slopes, sent: dict[str, float], core: dict[str, float]) -> list[Line]:
    changes = 4 * (REPLACED_A_DAY + FAILURES_A_DAY) * slopes.change_bytes / DAY_S
    live, cpu = sent["list, live weights"], core["list, live weights"]
    changed = min(WORKERS, 2 * STARTS_A_SECOND * LIST_PERIOD_S)  # a start and an end each
    told = slopes.list_bytes.at(changed) / LIST_PERIOD_S
    return [
        _line(
            "worker view, nominal weights",
            f"{WORKERS} workers, {REPLACED_A_DAY} replaced a day",
            changes / BYTES_A_SECOND,
            "changes alone are told (discovery client)",
            f"{changes:.1f} B/s at four changes of each worker replaced or lost",
        ),
        _line(
            "worker view, live weights",
            f"{WORKERS} workers, {BYTES_A_SECOND / 1000:.0f} KB/s",
            live / BYTES_A_SECOND,
            "a list of all weights each second (discovery client)",
            f"{live / 1000:.1f} KB/s",
        ),
        _line(
            "worker view, live weights that have changed alone",
            f"{STARTS_A_SECOND} starts/s and as many ends",
            told / BYTES_A_SECOND,
            "where the discovery service leaves out the others",
            f"{told / 1000:.1f} KB/s",
        ),
        _line(
            "worker view, live weights: CPU",
            f"{WORKERS} workers, {CORE_PART:.1%} of a core",
            cpu / CORE_PART,
            "JSON, entries, ring (discovery client, decisions)",
            f"{cpu:.2%} of a core",
        ),
    ]


def _members(slopes: Slopes, sent: dict[str, float]) -> list[Line]:
    death, heal = (sent["members"] + 2 * more for more in (slopes.death_bytes, slopes.heal_bytes))
    budget = f"{BYTES_A_SECOND / 1000:.0f} KB/s"
    return [
        _line(
            "members, calm",
            budget,
            sent["members"] / BYTES_A_SECOND,
            "SWIM with suspicion",
            f"{sent['members'] / 1000:.2f} KB/s",
        ),
        _line(
            "members, half a minute after a death",
            budget,
            death / BYTES_A_SECOND,
            "rumours, tries of the dead",
            f"{death / 1000:.2f} KB/s",
        ),
        _line(
            "members, a minute after a region cut",
            budget,
            heal / BYTES_A_SECOND,
            "rumours, comparison of lists",
            f"{heal / 1000:.2f} KB/s",
        ),
    ]


def _ledgers(slopes: Slopes, sent: dict[str, float], dispatchers: int) -> list[Line]:
    places = CLIENT_PLACES * dispatchers
    held_mb = 3 * slopes.replica_row_bytes.slope * RUNNING_TASKS / dispatchers / 1e6
    return [
        _line(
            "starts written down",
            f"{STARTS_A_SECOND} starts/s",
            sent["ledgers"] / BYTES_A_SECOND,
            "one writer, three replicas",
            f"{sent['ledgers'] / 1000:.2f} KB/s",
        ),
        _line(
            "running tasks, as records",
            f"{RUNNING_TASKS} tasks, {MEMORY_MB:.0f} MB",
            held_mb / MEMORY_MB,
            "a row at each of three replicas",
            f"{held_mb:.3f} MB a dispatcher",
        ),
        _line(
            "running tasks, as connections of clients",
            f"{RUNNING_TASKS} tasks",
            RUNNING_TASKS / places,
            "a client's connection for each",
            f"{RUNNING_TASKS / dispatchers:.1f} of {CLIENT_PLACES} places a dispatcher",
        ),
    ]


def _regions_apart(slopes: Slopes) -> Line:
    """Over budget by definition where any ledger loses its majority: its writer takes nothing unsafe then."""
    share = slopes.cut_share
    return Line(
        "ledgers while regions are apart",
        "2 regions, an hour",
        Verdict.OVER_BUDGET if share else Verdict.CARRIED,
        "replicas by zone; regions are not known to the choice",
        f"{share:.0%} of writers without a majority until they begin anew",
    )


def _not_calm(slopes: Slopes, dispatchers: int) -> list[Line]:
    """What is spent only at times. A rollout's figure is an upper one: each running task has ended and begun
    in each second."""
    starts = STARTS_A_SECOND / dispatchers
    stray = 2 * slopes.stray_bytes * (dispatchers - 1) * starts
    told = slopes.observed_bytes.at(RUNNING_TASKS / dispatchers) * (dispatchers - 1)
    turns = TURNS_A_SECOND + 1 / LIST_PERIOD_S + 2 * starts
    scan = slopes.full_turn_ms.at(WORKERS) / 1000 * turns
    return [
        _line(
            "call-backs that reach any dispatcher",
            f"{STARTS_A_SECOND} starts/s",
            stray / BYTES_A_SECOND,
            "passed on to all members",
            f"{stray / 1000:.1f} KB/s",
        ),
        _line(
            "a rollout under way, its coordinator",
            f"{WORKERS} workers",
            told / BYTES_A_SECOND,
            "every member tells each second of the workers that it uses",
            f"{told / 1000:.0f} KB/s at most",
        ),
        _line(
            "jobs that wait while all workers are full",
            f"{WORKERS} workers, {CORE_PART:.1%} of a core",
            scan / CORE_PART,
            "first fit over all workers for nine jobs in each turn",
            f"{scan:.0%} of a core at {turns:.1f} turns/s",
        ),
    ]


def _all_of_control(
    sent: dict[str, float], core: dict[str, float], slopes: Slopes, dispatchers: int
) -> list[Line]:
    held_mb = slopes.idle_mb + (slopes.worker_kb.at(WORKERS) + slopes.member_kb.at(dispatchers)) / 1024
    return [
        _line(
            "control, bytes in all",
            f"{BYTES_A_SECOND / 1000:.0f} KB/s a dispatcher",
            sum(sent.values()) / BYTES_A_SECOND,
            "all of the above, calm",
            f"{sum(sent.values()) / 1000:.1f} KB/s",
        ),
        _line(
            "control, CPU in all",
            f"{CORE_PART:.1%} of a core a dispatcher",
            sum(core.values()) / CORE_PART,
            "all of the above, calm",
            f"{sum(core.values()):.2%}",
        ),
        _line(
            "control, memory",
            f"{MEMORY_MB:.0f} MB a dispatcher",
            held_mb / MEMORY_MB,
            "the whole process, its list and members",
            f"{held_mb:.1f} MB",
        ),
    ]


def _not_there() -> list[Line]:
    return [
        _missing(
            "configuration in force everywhere",
            f"{CONFIGURATIONS_A_DAY} a day, within {CONFIGURATION_WITHIN_S} s",
            "a file and SIGHUP for each process; nobody knows which has it",
        ),
        _missing(
            "quotas over all dispatchers",
            f"{TEAMS} teams",
            "an equal part of a rate at each dispatcher; nothing counts accelerators in use over the fleet",
        ),
        _missing(
            "urgent work",
            f"started within {URGENT_WITHIN_S} s",
            "`classPriority` is read and not used; nothing that runs gives way",
        ),
        _missing("gangs", f"up to {GANG_MOST} tasks at once", "each job is placed on its own"),
    ]
