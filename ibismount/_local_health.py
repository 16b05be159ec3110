"""Score of how slow a node itself is, so that it suspects others more slowly."""

__all__ = ('LocalHealth',)


class LocalHealth:
    """Score between 0, which is healthy, and a maximum.

    Args:
        max_score: Upper bound of the score.
    """

    def __init__(self, max_score: int) -> None:
        """Start healthy."""
        self._max_score = max_score
        self._score = 0

    @property
    def timeout_factor(self) -> int:
        """Return the factor by which all timeouts are longer."""
        return self._score + 1

    def improve(self) -> None:
        """Note an answer in time."""
        self._score = max(0, self._score - 1)

    def worsen(self) -> None:
        """Note a sign that this node is slow."""
        self._score = min(self._max_score, self._score + 1)

    def set_worst(self) -> None:
        """Note that this process was paused."""
        self._score = self._max_score
