"""Quantities in configuration files: strings of a number and its unit."""

import re

_NS_PER_UNIT = {
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "min": 60_000_000_000,
    "h": 3_600_000_000_000,
}
_BYTES_PER_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class Duration(int):
    """A duration in whole nanoseconds, written as a number with its unit."""

    PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?) ?(us|ms|s|min|h)")

    @classmethod
    def parse(cls, text: object) -> "Duration":
        """Reads a duration such as ``1.5 s``. Raises a ValueError if the text is not one."""
        match = cls.PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None:
            raise ValueError(f"expected a duration such as '250 ms' or '1.5 s', got {text!r}")
        return cls(round(float(match[1]) * _NS_PER_UNIT[match[2]]))

    @property
    def seconds(self) -> float:
        return self / 1e9


class Size(int):
    """A size in bytes, written as a number with its unit."""

    PATTERN = re.compile(r"([0-9]{1,12}) ?(B|KiB|MiB|GiB)")

    @classmethod
    def parse(cls, text: object) -> "Size":
        """Reads a size such as ``64 KiB``. Raises a ValueError if the text is not one or is 0."""
        match = cls.PATTERN.fullmatch(text) if isinstance(text, str) else None
        if match is None or not int(match[1]):
            raise ValueError(f"expected a size such as '512 B' or '64 KiB', got {text!r}")
        return cls(int(match[1]) * _BYTES_PER_UNIT[match[2]])


def ms(value: float) -> Duration:
    """A duration of ``value`` milliseconds."""
    return Duration(round(value * 1e6))
