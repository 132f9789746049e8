"""How slow this member itself seems to be, as in Lifeguard: its own time-outs grow with it."""

MAX_SCORE = 4  # each point adds half of a time-out


class LocalHealth:
    """A score that rises when this member seems slow or cut off, and falls with each answered probe."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Notes a sign that this member is slow: a late wake-up, silence all round, a suspicion of it."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Notes a probe that was answered."""
        self.score = max(0, self.score - 1)

    def scale(self, duration: int) -> int:
        """A time-out of this member, longer while it seems to be slow itself."""
        return duration + duration * self.score // 2
