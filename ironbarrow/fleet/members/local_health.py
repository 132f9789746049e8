"""Local health as in Lifeguard: a member that seems slow lengthens its own timeouts."""

MAX_SCORE = 4  # each point adds half a timeout


class LocalHealth:
    """A score that rises when this member seems slow or cut off, and falls with each answered probe.

    0 is healthy.
    """

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Records a sign that this member is slow: a late timer, no messages at all, or a suspicion of it."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Records an answered probe."""
        self.score = max(0, self.score - 1)

    def scale(self, duration: int) -> int:
        """The timeout to use in place of ``duration``: longer, the higher the score."""
        return duration + duration * self.score // 2
