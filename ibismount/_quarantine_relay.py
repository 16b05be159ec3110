"""What Quarantine has to do with the confirmation rounds."""

from collections.abc import Iterable
from typing import Protocol

from ibismount.messages import LossReport, QuarantineEntry

__all__ = ('QuarantineRelay', 'RelayedQuarantine')

# Loss reports are repeated in the answers to all coordinators for this long,
# because one answer may be late.
_REPORT_REPEAT_S = 2.0


class RelayedQuarantine(Protocol):
    """The part of Quarantine that travels with the rounds."""

    def take_reports(self) -> tuple[LossReport, ...]:
        """Return the loss reports that were not taken yet."""

    def merge_reports(self, now: float, reports: Iterable[LossReport]) -> None:
        """Take reports of other nodes."""

    def active(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the entries in force."""

    def adopt(self, entries: Iterable[QuarantineEntry]) -> None:
        """Take entries of a coordinator."""


class QuarantineRelay:
    """Carry reports up and entries down for one node.

    Args:
        quarantine: The node's quarantine; without it, nothing is carried.
    """

    def __init__(self, quarantine: RelayedQuarantine | None) -> None:
        """Start with nothing to report."""
        self._quarantine = quarantine
        self._reports: list[tuple[float, LossReport]] = []

    def recent_reports(self, now: float) -> list[LossReport]:
        """Return the node's own reports of the last seconds."""
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
        """Hand over the reports that reached a coordinator, and its own."""
        if self._quarantine:
            own_reports = self.recent_reports(now)
            self._quarantine.merge_reports(now, [*reports, *own_reports])

    def active(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the entries in force here."""
        return tuple(self._quarantine.active(now)) if self._quarantine else ()

    def adopt(self, entries: tuple[QuarantineEntry, ...]) -> None:
        """Take the entries in force at a coordinator."""
        if self._quarantine and entries:
            self._quarantine.adopt(entries)
