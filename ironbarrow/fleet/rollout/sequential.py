"""Tests that may be looked at again and again: an e-process each, so that the chance of ever crossing 1/a
is at most a, whenever and however often one looks (Ville's inequality).

*Two proportions* (``Proportions``). In a block (one site, one class, one stretch of time) the new runtime
fails in a of n attempts and the old one in b of m. For guesses p > q, made before the block is seen, and
r = (n p + m q) / (n + m),

    S = (p/r)^a ((1-p)/(1-r))^(n-a) (q/r)^b ((1-q)/(1-r))^(m-b)

has a mean of at most 1 whatever the common true rate is, so rates may differ from block to block and site to
site (Turner, Ly, Gruenwald: *Generic E-variables for exact sequential k-sample tests that allow for optional
stopping*, 2021, arXiv:2106.02693). Where the new one may be worse by t, the mean is at most
exp(n t (p-r) / (r (1-r))), since log(1+x) <= x; S is divided by that. The product over blocks is an
e-process. Its guesses are a grid of differences above the old one's rate of earlier blocks, each with a
part of the stake.

*What begins later.* A part h of each guess's stake not yet at work joins in at every block: this is the
mixture over the block at which the harm began, with weights h (1-h)^j, and a mixture of e-processes is one
(as in Shin, Ramdas, Rinaldo: *E-detectors*, 2022, with a bounded chance of ever being wrong in place of a
mean time to it).

*Which is longer* (``Pairs``): of a job of the new and one of the old runtime, matched within a block, the
new one takes longer with a chance of at most c: the product of (g/c)^w ((1-g)/(1-c))^l over guesses g > c.

*Many of them*: the mean of e-processes is one; all classes, signals and sites together get the stated rate,
with no further correction (Vovk, Wang: *E-values: calibration, combination and applications*, 2021).

*Sick machines.* The product supposes attempts that fail on their own account. A machine that is sick fails
many in a row, and would be taken for its runtime. So what counts is the smaller of the product over all
machines of the new runtime and that without the worst third of them: it is no larger than an e-process, so
the rate holds, and one sick machine alone proves nothing.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

JOINS = 1 / 32  # the part of the stake not yet at work that joins in at each block
_DIFFERENCES = (0.015, 0.05, 0.15, 0.5, 0.9)
_LEAST_RATE = 0.002
_LONGER = (0.65, 0.75, 0.9)
BLOCKS = 512  # that are remembered: what is older is left out
_MOST_LOG = 600.0
_WORTH_A_LOOK = 1.5  # below this (a logarithm) it makes no difference whose failures they are


@dataclass(slots=True)
class Block:
    """What was seen in one stretch of time: attempts and failures by machine of the new runtime, and of all
    machines of the old one; pairs won and lost by machine."""

    new: dict[str, tuple[int, int]] = field(default_factory=dict)
    old: tuple[int, int] = (0, 0)

    def sums(self, without: frozenset[str]) -> tuple[int, int]:
        """Attempts and failures of the new runtime, without some machines."""
        if not without:
            pairs = self.new.values()
            return sum(n for n, _ in pairs), sum(a for _, a in pairs)
        some = [pair for name, pair in self.new.items() if name not in without]
        return sum(n for n, _ in some), sum(a for _, a in some)


def log_mixture(values: Sequence[float]) -> float:
    """The logarithm of a sum, from the logarithms of its parts."""
    most = max(values, default=-math.inf)
    if most == -math.inf:
        return most
    return most + math.log(sum(math.exp(value - most) for value in values))


class _Stake:
    """The stake on one guess, as logarithms: a part at work and a part that has not joined in yet."""

    __slots__ = ("at_work", "waiting")

    def __init__(self, part: float) -> None:
        self.at_work, self.waiting = -math.inf, math.log(part)

    def play(self, log_value: float) -> None:
        joined = self.waiting + math.log(JOINS)
        self.waiting += math.log1p(-JOINS)
        self.at_work = min(_MOST_LOG, log_mixture((self.at_work, joined)) + log_value)

    def log(self) -> float:
        return log_mixture((self.at_work, self.waiting))


def trimmed(failures: dict[str, float]) -> frozenset[str]:
    """The worst third of the machines, at least one of two or more; of one alone, none."""
    if len(failures) < 2:
        return frozenset()
    worst = sorted(failures, key=lambda name: (-failures[name], name))
    return frozenset(worst[: max(1, math.ceil(len(worst) / 3))])


def log_block(n: int, a: int, m: int, b: int, p: float, q: float, worse_by: float) -> float:
    """The logarithm of S of one block, see above."""
    r = (n * p + m * q) / (n + m)
    value = a * math.log(p / r) + (n - a) * math.log((1 - p) / (1 - r))
    value += b * math.log(q / r) + (m - b) * math.log((1 - q) / (1 - r))
    return value - n * worse_by * (p - r) / (r * (1 - r))


class Proportions:
    """The e-process of two proportions."""

    def __init__(self, worse_by: float) -> None:
        self._worse_by = worse_by
        self._stakes = [_Stake(1 / len(_DIFFERENCES)) for _ in _DIFFERENCES]
        self._seen = self._failed = 0  # of the old runtime, in earlier blocks

    def play(self, block: Block, without: frozenset[str] = frozenset()) -> None:
        n, a = block.sums(without)
        m, b = block.old
        rate = max(_LEAST_RATE, (self._failed + 0.5) / (self._seen + 100.0))
        self._seen, self._failed = self._seen + m, self._failed + b
        if not n or not m:
            return
        for stake, difference in zip(self._stakes, _DIFFERENCES, strict=True):
            stake.play(log_block(n, a, m, b, min(0.98, rate + difference), rate, self._worse_by))

    def log(self) -> float:
        """The logarithm of the evidence."""
        return log_mixture([stake.log() for stake in self._stakes])


class Pairs:
    """The e-process of pairs: ``Block.new`` holds pairs, and those in which the new one took longer."""

    def __init__(self, odds: float) -> None:
        self._odds = odds
        self._guesses = [guess for guess in _LONGER if guess > odds + 0.02] or [(1 + odds) / 2]
        self._stakes = [_Stake(1 / len(self._guesses)) for _ in self._guesses]

    def play(self, block: Block, without: frozenset[str] = frozenset()) -> None:
        n, w = block.sums(without)
        if not n:
            return
        for stake, guess in zip(self._stakes, self._guesses, strict=True):
            stake.play(w * math.log(guess / self._odds) + (n - w) * math.log((1 - guess) / (1 - self._odds)))

    def log(self) -> float:
        """The logarithm of the evidence."""
        return log_mixture([stake.log() for stake in self._stakes])


class Comparison:
    """One e-process over time: blocks are added, ``log_e`` is what speaks against the new runtime,
    ``log_all`` the same with sick machines in it."""

    def __init__(self, limit: float, *, pairs: bool = False) -> None:
        """``limit``: what the new one may be worse by; with ``pairs``, the chance that it takes longer."""
        self._limit, self._pairs = limit, pairs
        self._blocks: deque[Block] = deque(maxlen=BLOCKS)
        self._excess: dict[str, float] = {}  # what a machine failed beyond what is usual
        self._all = self._fresh()
        self.log_e, self.log_all = 0.0, 0.0

    def _fresh(self) -> Proportions | Pairs:
        return Pairs(self._limit) if self._pairs else Proportions(self._limit)

    def add(self, block: Block) -> None:
        self._blocks.append(block)
        self._all.play(block)
        usual = self._limit if self._pairs else 0.0
        for name, (count, bad) in block.new.items():
            self._excess[name] = self._excess.get(name, 0.0) + bad - usual * count
        self.log_all = self._all.log()
        self.log_e = self.log_all
        if self.log_all < _WORTH_A_LOOK:
            return
        left_out = trimmed(self._excess)
        if left_out:
            rest = self._fresh()
            for one in self._blocks:
                rest.play(one, left_out)
            self.log_e = min(self.log_all, rest.log())
        else:
            # danger: of one machine alone nobody can tell whether it is the machine or its runtime
            self.log_e = min(0.0, self.log_all)

    def figures(self) -> tuple[int, int, int, int]:
        """Attempts and failures of the new runtime and of the old one, of all that is remembered."""
        new = [pair for block in self._blocks for pair in block.new.values()]
        old = [block.old for block in self._blocks]
        return (
            sum(n for n, _ in new),
            sum(a for _, a in new),
            sum(m for m, _ in old),
            sum(b for _, b in old),
        )
