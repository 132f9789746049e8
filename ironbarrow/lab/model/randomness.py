"""Named random streams: adding a part to a world does not change the draws of the others."""

import math
from bisect import bisect_right
from hashlib import blake2b

import numpy as np

_BLOCK_SIZE = 256  # a scalar draw from numpy takes about 1 us, one from a block a tenth of that


class Stream:
    """Random draws for one named purpose. Each kind of distribution has its own generator."""

    def __init__(self, seed: int, name: str) -> None:
        words = np.frombuffer(blake2b(name.encode(), digest_size=16).digest(), dtype="<u4")
        self._entropy = [seed & 0xFFFFFFFF, seed >> 32, *(int(word) for word in words)]
        self._uniforms: list[float] = []
        self._exponentials: list[float] = []
        self._normals: list[float] = []
        self._generators: list[np.random.Generator | None] = [None, None, None]

    def _generator(self, kind: int) -> np.random.Generator:
        generator = self._generators[kind]
        if generator is None:
            generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence([*self._entropy, kind])))
            self._generators[kind] = generator
        return generator

    def uniform(self, low: float = 0.0, high: float = 1.0) -> float:
        """A uniform draw from [low, high)."""
        if not self._uniforms:
            self._uniforms = self._generator(0).random(_BLOCK_SIZE).tolist()
        return low + (high - low) * self._uniforms.pop()

    def exponential(self, mean: float) -> float:
        if not self._exponentials:
            self._exponentials = self._generator(1).standard_exponential(_BLOCK_SIZE).tolist()
        return mean * self._exponentials.pop()

    def normal(self) -> float:
        """A normal draw with mean 0 and standard deviation 1."""
        if not self._normals:
            self._normals = self._generator(2).standard_normal(_BLOCK_SIZE).tolist()
        return self._normals.pop()

    def lognormal(self, mean: float, cv: float) -> float:
        """A lognormal draw with this mean and coefficient of variation."""
        if cv <= 0:
            return mean
        variance = math.log1p(cv * cv)
        return mean * math.exp(math.sqrt(variance) * self.normal() - variance / 2)

    def chance(self, probability: float) -> bool:
        return probability > 0 and self.uniform() < probability

    def randrange(self, number: int) -> int:
        """A uniform integer from 0 to ``number`` - 1."""
        return min(number - 1, int(self.uniform() * number))

    def choose_index(self, cumulative: list[float]) -> int:
        """A random index; ``cumulative`` holds the cumulative weights, so its last value is their sum."""
        return min(len(cumulative) - 1, bisect_right(cumulative, self.uniform() * cumulative[-1]))


class Streams:
    """All streams of one seed. A stream's name is part of its seed: renaming it changes its draws."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._streams: dict[str, Stream] = {}

    def __getitem__(self, name: str) -> Stream:
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = Stream(self.seed, name)
        return stream


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Cumulative weights of ``count`` items; the n-th has weight 1/n^exponent."""
    weights = 1.0 / np.arange(1, count + 1, dtype=float) ** exponent
    return [float(value) for value in np.cumsum(weights)]
