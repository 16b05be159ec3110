"""Share losses of backend servers and quarantined requests between nodes."""

import dataclasses
from collections.abc import Iterable

from ibismount.logs import part_logger
from ibismount.loss_report import LossReport, QuarantineEntry
from ibismount.quarantine import Quarantine
from ibismount.shared_state import SharedState

__all__ = ('QuarantineSharing', 'QuarantineUpdate')

log = part_logger('quarantine')


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """Losses and quarantined requests.

    The times of ``reports`` are ages in seconds; the expiry of ``entries`` is
    the time that is left, in seconds.
    """

    reports: tuple[LossReport, ...] = ()
    entries: tuple[QuarantineEntry, ...] = ()


class QuarantineSharing(SharedState):
    """Pass on what a node's quarantine finds out and hears.

    Args:
        quarantine: The node's quarantine.
    """

    message_type = QuarantineUpdate

    def __init__(self, quarantine: Quarantine) -> None:
        """Start with nothing to pass on."""
        self._quarantine = quarantine
        # Reports of other nodes that are to be passed on.
        self._received: list[LossReport] = []
        # Fingerprints of the entries that were passed on.
        self._announced: set[str] = set()

    def make_snapshot(self, now: float) -> QuarantineUpdate | None:
        """Return all losses that count, and all entries in force."""
        return _make_update(
            now,
            self._quarantine.standing_reports(),
            self._quarantine.active(now),
        )

    def merge(self, now: float, message: QuarantineUpdate) -> None:
        """Apply what another node knows."""
        reports = [_convert_times(now, report) for report in message.reports]
        self._received.extend(self._quarantine.merge_reports(now, reports))
        self._quarantine.adopt(
            dataclasses.replace(entry, expires_at=now + entry.expires_at)
            for entry in message.entries
        )

    def take_outgoing(self, now: float) -> QuarantineUpdate | None:
        """Return the losses and entries that are new since the last call."""
        if self._quarantine.is_empty:
            self._announced.clear()
            return None
        received, self._received = self._received, []
        entries = self._quarantine.active(now)
        new_entries = [
            entry
            for entry in entries
            if entry.fingerprint not in self._announced
        ]
        for entry in new_entries:
            log.warning(
                'request quarantined',
                extra={
                    'fingerprint': entry.fingerprint,
                    'evidence': entry.evidence,
                    'for_s': round(entry.expires_at - now, 1),
                },
            )
        self._announced = {entry.fingerprint for entry in entries}
        reports = [*self._quarantine.take_reports(), *received]
        return _make_update(now, _join_reports(reports), new_entries)


def _make_update(
    now: float,
    reports: Iterable[LossReport],
    entries: Iterable[QuarantineEntry],
) -> QuarantineUpdate | None:
    update = QuarantineUpdate(
        tuple(_convert_times(now, report) for report in reports),
        tuple(
            dataclasses.replace(entry, expires_at=entry.expires_at - now)
            for entry in entries
        ),
    )
    return update if update.reports or update.entries else None


def _convert_times(now: float, report: LossReport) -> LossReport:
    """Turn the times of a report into ages, or ages into times."""
    return dataclasses.replace(
        report,
        at=now - report.at,
        started=now - report.started if report.started else 0,
    )


def _join_reports(reports: Iterable[LossReport]) -> Iterable[LossReport]:
    """Join reports of one fingerprint: a search loses many servers at once."""
    joined: dict[tuple[str, bool], LossReport] = {}
    for report in reports:
        key = (report.fingerprint, bool(report.servers))
        earlier = joined.get(key)
        if earlier is not None:
            report = LossReport(
                report.fingerprint,
                tuple(sorted({*earlier.servers, *report.servers})),
                # An answer clears all losses before it, so the last one counts.
                min(earlier.at, report.at)
                if report.servers
                else max(earlier.at, report.at),
                max(earlier.started, report.started),
            )
        joined[key] = report
    return joined.values()
