"""Order in which the parts of a request are first sent."""

from collections.abc import Collection, Iterable

from ibismount.part_tracker import Part

__all__ = ('SendOrder',)


class SendOrder:
    """Send all parts at once, or one alone if the request is suspect.

    A suspect request may end each server that runs it. Its first part is a
    canary: the others wait until a server has run it to its end.

    Args:
        suspect_services: Services whose servers ended under the request
            before; None if the request is not suspect.

    Example::

        order = SendOrder({'desk'})
        order.start(parts)  # the part for 'desk' alone
        order.release(parts[0])  # all others, once it was run
    """

    def __init__(self, suspect_services: Collection[str] | None) -> None:
        """Start without parts."""
        self._suspect_services = suspect_services
        self._canary: Part | None = None
        self._held_back: list[Part] = []

    def start(self, parts: Iterable[Part]) -> list[Part]:
        """Return the parts to send first."""
        ordered = list(parts)
        if self._suspect_services is None:
            return ordered
        ordered.sort(
            key=lambda part: part.service not in self._suspect_services
        )
        self._canary, *self._held_back = ordered
        return [self._canary]

    def is_canary(self, part: Part) -> bool:
        """Return whether other parts wait for this one."""
        return part is self._canary

    def release(self, part: Part) -> list[Part]:
        """Return the parts to send now that a server has run a part."""
        if part is not self._canary:
            return []
        self._canary = None
        released, self._held_back = self._held_back, []
        return released

    def replace_canary(self) -> Part | None:
        """Return the part to send instead of a canary that no server ran."""
        if not self._is_canary_lost() or self._canary.runs:
            return None
        self._canary = self._held_back.pop(0) if self._held_back else None
        return self._canary

    def take_hopeless(self) -> list[Part]:
        """Return the parts that wait for a canary whose server was lost."""
        if not self._is_canary_lost():
            return []
        hopeless, self._held_back = self._held_back, []
        return hopeless

    def _is_canary_lost(self) -> bool:
        return self._canary is not None and self._canary.unanswerable
