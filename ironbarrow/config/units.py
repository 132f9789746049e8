"""Quantities as operators write them: a number and its unit, in text."""

import re

_TIMES = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class Duration(int):
    """A time in whole nanoseconds, written as a number with its unit."""

    PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?) ?(us|ms|s|min|h)")

    @classmethod
    def parse(cls, text: object) -> "Duration":
        """A ValueError says what was expected."""
        found = cls.PATTERN.fullmatch(text) if isinstance(text, str) else None
        if found is None:
            raise ValueError(f"expected a duration such as '250 ms' or '1.5 s', got {text!r}")
        return cls(round(float(found[1]) * _TIMES[found[2]]))

    @property
    def seconds(self) -> float:
        return self / 1e9


class Size(int):
    """A size in bytes, written as a number with its unit."""

    PATTERN = re.compile(r"([0-9]{1,12}) ?(B|KiB|MiB|GiB)")

    @classmethod
    def parse(cls, text: object) -> "Size":
        """A ValueError says what was expected."""
        found = cls.PATTERN.fullmatch(text) if isinstance(text, str) else None
        if found is None or not int(found[1]):
            raise ValueError(f"expected a size such as '512 B' or '64 KiB', got {text!r}")
        return cls(int(found[1]) * _SIZES[found[2]])


def ms(value: float) -> Duration:
    """So many milliseconds."""
    return Duration(round(value * 1e6))
