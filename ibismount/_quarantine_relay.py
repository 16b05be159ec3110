"""Exchange of loss reports and quarantine entries in confirmation rounds."""

from collections.abc import Iterable
from typing import Protocol

from ibismount.messages import LossReport, QuarantineEntry

__all__ = ('QuarantineRelay', 'RelayedQuarantine')

# Loss reports are repeated in the replies to all coordinators for this long,
# because a single reply may be late.
_REPORT_REPEAT_S = 2.0


class RelayedQuarantine(Protocol):
    """The interface of a quarantine whose data the rounds carry."""

    def take_reports(self) -> tuple[LossReport, ...]:
        """Return the loss reports added since the last call."""

    def merge_reports(self, now: float, reports: Iterable[LossReport]) -> None:
        """Merge loss reports of other nodes."""

    def active(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the entries in force."""

    def adopt(self, entries: Iterable[QuarantineEntry]) -> None:
        """Apply the entries of a coordinator."""


class QuarantineRelay:
    """Pass reports to coordinators and entries back, for one node.

    Args:
        quarantine: The node's quarantine; None to pass nothing.
    """

    def __init__(self, quarantine: RelayedQuarantine | None) -> None:
        """Start without reports."""
        self._quarantine = quarantine
        self._reports: list[tuple[float, LossReport]] = []

    def recent_reports(self, now: float) -> list[LossReport]:
        """Return this node's reports of the last 2 s."""
        if self._quarantine:
            new_reports = self._quarantine.take_reports()
            self._reports.extend((now, report) for report in new_reports)
        self._reports = [
            timed_report
            for timed_report in self._reports
            if now - timed_report[0] < _REPORT_REPEAT_S
        ]
        return [report for _, report in self._reports]

    def merge(self, now: float, reports: Iterable[LossReport]) -> None:
        """Merge the reports received as coordinator and this node's own."""
        if self._quarantine:
            own_reports = self.recent_reports(now)
            self._quarantine.merge_reports(now, [*reports, *own_reports])

    def active(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the entries in force on this node."""
        return tuple(self._quarantine.active(now)) if self._quarantine else ()

    def adopt(self, entries: tuple[QuarantineEntry, ...]) -> None:
        """Apply the entries in force at a coordinator."""
        if self._quarantine and entries:
            self._quarantine.adopt(entries)
