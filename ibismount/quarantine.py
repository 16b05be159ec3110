"""Quarantine of requests whose execution crashes backend servers."""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping

from ibismount.loss_report import LossReport, QuarantineEntry

__all__ = ('Quarantine', 'QuarantineOptions', 'RunMode')


class RunMode(enum.StrEnum):
    """How the next attempt of a request may run."""

    NORMAL = 'normal'
    # On one shard first; an answer clears the request.
    CANARY = 'canary'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineOptions:
    """Times in seconds, and bounds of the tables.

    Losses within ``wave_s`` of the first one form a wave and count once,
    because one query touches many shards. ``window_s`` is the time before a
    wave whose lost servers are compared with those of the wave. ``hold_s`` is
    the length of a quarantine, and of a suspicion that no further attempt
    confirms or clears. ``max_unrelated_share`` is the greatest share of the
    servers lost around a wave that may have been lost without the request: above
    it, they probably share another cause. One turns this comparison off, where
    any answer clears a request. ``min_waves`` is the number of waves that
    quarantine a request, ``min_waves_answered`` that for one which servers have
    answered before: a popular request runs on most servers that another one
    crashes.
    """

    wave_s: float = 1.0
    window_s: float = 5.0
    hold_s: float = 600.0
    max_unrelated_share: float = 0.5
    min_waves: int = 2
    min_waves_answered: int = 2
    max_entries: int = 64
    max_suspects: int = 1024
    max_answered: int = 4096


_DEFAULTS = QuarantineOptions()


@dataclasses.dataclass(slots=True)
class _Wave:
    """Losses that count once; ``started`` is when the request was sent."""

    at: float
    last: float
    servers: set[str]
    started: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request that was running on lost servers."""

    waves: list[_Wave] = dataclasses.field(default_factory=list)
    cleared_at: float = 0
    canary: bool = False
    # A server answered the request, before or after it became suspect.
    answered: bool = False

    def servers(self) -> set[str]:
        """Return all servers lost while running the request."""
        lost_servers: set[str] = set()
        return lost_servers.union(*(wave.servers for wave in self.waves))


class Quarantine:
    """Decide how requests may run after losses of backend servers.

    Losses seen by this node and reports from other nodes are treated alike,
    so a coordinator also quarantines a request whose losses are spread over
    several nodes.

    Args:
        options: Times and bounds.
        unix_offset: Unix time minus the clock of ``now``, in seconds. Times
            in messages are Unix times; the clocks of the nodes must agree to
            a fraction of a second.
        on_news: Called after each loss, answer or quarantine that this node
            did not know.
    """

    def __init__(
        self,
        *,
        options: QuarantineOptions = _DEFAULTS,
        unix_offset: float = 0,
        on_news: Callable[[], object] | None = None,
    ) -> None:
        """Start with no suspects."""
        self._options = options
        self._on_news = on_news
        self._unix_offset = unix_offset
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._entries: dict[str, QuarantineEntry] = {}
        self._loss_times: dict[str, float] = {}
        self._reports: list[LossReport] = []
        # When requests were last answered, the longest ago first.
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Return whether every request may run normally."""
        return not self._suspects and not self._entries

    @property
    def hold_s(self) -> float:
        """Return the length of a quarantine, in seconds."""
        return self._options.hold_s

    def run_mode(self, now: float, fingerprint: str) -> RunMode:
        """Return how the next attempt of a request may run."""
        at = now + self._unix_offset
        if self._is_quarantined(at, fingerprint):
            return RunMode.REFUSED
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return RunMode.NORMAL
        waves = len(self._implicating_waves(at, suspect))
        if waves <= self._min_waves(suspect) - self._options.min_waves:
            return RunMode.NORMAL
        if waves > 1 and self._open_wave_s(at, suspect) > 0:
            return RunMode.REFUSED
        suspect.canary = True
        return RunMode.CANARY

    def time_left_s(self, now: float, fingerprint: str) -> float:
        """Return how long a request is refused, in seconds."""
        at = now + self._unix_offset
        if self._is_quarantined(at, fingerprint):
            return self._entries[fingerprint].expires_at - at
        suspect = self._suspects.get(fingerprint)
        return max(0, self._open_wave_s(at, suspect)) if suspect else 0

    def lost_servers(self, fingerprint: str) -> tuple[str, ...]:
        """Return the servers lost while running a suspect request.

        A canary is conclusive only on a shard that one of them held.
        """
        suspect = self._suspects.get(fingerprint)
        return tuple(sorted(suspect.servers())) if suspect else ()

    def record_loss(
        self, now: float, server: str, running: Mapping[str, float]
    ) -> None:
        """Record the loss of a backend server that reset its connection.

        Args:
            now: Time of the reset in seconds.
            server: The backend server.
            running: Fingerprints that ran on it, with the time at which the
                latest sub-request of each was sent.
        """
        at = now + self._unix_offset
        for fingerprint, started in running.items():
            self._report(
                LossReport(
                    fingerprint, (server,), at, started + self._unix_offset
                )
            )
        if not running:
            self._report(LossReport('', (server,), at))

    def record_canary_answer(self, now: float, fingerprint: str) -> None:
        """Record that the canary of a request was answered."""
        suspect = self._suspects.get(fingerprint)
        if suspect and suspect.canary:
            self.record_answer(now, fingerprint)

    def record_answer(self, now: float, fingerprint: str) -> None:
        """Record that a server ran a suspect request and did not end."""
        suspect = self._suspects.get(fingerprint)
        if suspect and suspect.waves:
            self._report(LossReport(fingerprint, (), now + self._unix_offset))

    def record_served(self, now: float, fingerprint: str) -> None:
        """Remember that a request was answered, in case it becomes suspect."""
        self._answered_at[fingerprint] = now + self._unix_offset
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > self._options.max_answered:
            self._answered_at.popitem(last=False)

    def take_reports(self) -> tuple[LossReport, ...]:
        """Remove and return the reports to send to the coordinators."""
        pending_reports, self._reports = self._reports, []
        return tuple(pending_reports)

    def merge_reports(
        self, now: float, reports: Iterable[LossReport]
    ) -> list[LossReport]:
        """Apply reports from other nodes; repeated reports have no effect.

        Returns:
            The reports that told this node something new.
        """
        oldest = now + self._unix_offset - self._options.hold_s
        # Whether a wave counts against a request depends on the servers lost
        # without it, so all lost servers are recorded before the first wave
        # is evaluated.
        sorted_reports = sorted(reports, key=lambda report: report.at)
        for report in sorted_reports:
            self._record_lost_servers(report)
        new_reports = [
            report
            for report in sorted_reports
            if report.at > oldest and self._apply_report(report)
        ]
        if new_reports:
            self._tell_news()
        return new_reports

    def standing_reports(self) -> list[LossReport]:
        """Return reports of the losses and answers of all suspect requests."""
        reports = []
        for fingerprint, suspect in self._suspects.items():
            if suspect.answered:
                reports.append(LossReport(fingerprint, (), suspect.cleared_at))
            reports.extend(
                LossReport(
                    fingerprint,
                    tuple(sorted(wave.servers)),
                    wave.at,
                    wave.started,
                )
                for wave in suspect.waves
            )
        return reports

    def expire(self, now: float) -> None:
        """Drop the suspects that were not seen for the hold time."""
        oldest = now + self._unix_offset - self._options.hold_s
        for fingerprint, suspect in list(self._suspects.items()):
            latest = max(
                (wave.last for wave in suspect.waves),
                default=suspect.cleared_at,
            )
            if latest < oldest:
                self._suspects.pop(fingerprint)
        self.active(now)

    def active(self, now: float) -> tuple[QuarantineEntry, ...]:
        """Return the quarantined requests, at most ``max_entries``."""
        at = now + self._unix_offset
        self._entries = {
            fingerprint: entry
            for fingerprint, entry in self._entries.items()
            if entry.expires_at > at
        }
        return tuple(self._entries.values())

    def adopt(self, entries: Iterable[QuarantineEntry]) -> None:
        """Add the entries in force at another node."""
        for entry in entries:
            current = self._entries.get(entry.fingerprint)
            if current is None or current.expires_at < entry.expires_at:
                self._entries[entry.fingerprint] = entry
                self._tell_news()
        while len(self._entries) > self._options.max_entries:
            self._entries.pop(min(self._entries, key=self._expires_at))

    def _expires_at(self, fingerprint: str) -> float:
        return self._entries[fingerprint].expires_at

    def _open_wave_s(self, at: float, suspect: _Suspect) -> float:
        """Return how long a further loss still counts with the last ones.

        After repeated losses, a request is refused for this time: its next loss
        would be no further evidence.
        """
        if not suspect.waves:
            return 0
        return suspect.waves[-1].at + self._options.wave_s - at

    def _is_quarantined(self, at: float, fingerprint: str) -> bool:
        entry = self._entries.get(fingerprint)
        return entry is not None and entry.expires_at > at

    def _report(self, report: LossReport) -> None:
        self._reports.append(report)
        # Every confirmation round takes the reports; without rounds only the
        # newest are kept.
        del self._reports[: -self._options.max_suspects]
        self._record_lost_servers(report)
        self._apply_report(report)
        self._tell_news()

    def _tell_news(self) -> None:
        if self._on_news is not None:
            self._on_news()

    def _record_lost_servers(self, report: LossReport) -> None:
        for server in report.servers:
            # The newest loss is moved to the end, so that old ones can be
            # dropped from the front.
            latest = max(self._loss_times.pop(server, 0), report.at)
            self._loss_times[server] = latest
        while self._loss_times:
            server = next(iter(self._loss_times))
            if self._loss_times[server] > report.at - self._options.hold_s:
                break
            self._loss_times.pop(server)

    def _apply_report(self, report: LossReport) -> bool:
        """Apply a report; return whether it told something new."""
        if not report.fingerprint:
            return False
        if self._is_quarantined(report.at, report.fingerprint):
            return False
        suspect = self._find_suspect(report.fingerprint)
        if report.servers:
            changed = self._add_loss(suspect, report)
            self._quarantine_if_repeated(report, suspect)
        else:
            changed = self._clear(suspect, report.at) or not suspect.answered
            suspect.answered = True
        if len(self._suspects) > self._options.max_suspects:
            self._suspects.popitem(last=False)
        return changed

    def _find_suspect(self, fingerprint: str) -> _Suspect:
        """Return a suspect; a new one knows whether it was answered before."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = _Suspect()
            self._suspects[fingerprint] = suspect
            answered_at = self._answered_at.get(fingerprint)
            if answered_at is not None:
                suspect.answered = True
                suspect.cleared_at = answered_at
                self._reports.append(LossReport(fingerprint, (), answered_at))
        return suspect

    def _min_waves(self, suspect: _Suspect) -> int:
        """Return the number of waves that quarantine a request."""
        options = self._options
        return (
            options.min_waves_answered
            if suspect.answered
            else options.min_waves
        )

    def _add_loss(self, suspect: _Suspect, report: LossReport) -> bool:
        if report.at <= suspect.cleared_at:
            return False
        for wave in suspect.waves:
            within_wave = abs(report.at - wave.at) <= self._options.wave_s
            # A loss of work sent before the wave belongs to that wave: the
            # work was running when the request became suspect.
            sent_before = wave.at < report.at and 0 < report.started <= wave.at
            if within_wave or sent_before:
                changed = not wave.servers.issuperset(report.servers)
                wave.servers.update(report.servers)
                wave.last = max(wave.last, report.at)
                wave.at = min(wave.at, report.at)
                return changed
        suspect.waves.append(
            _Wave(report.at, report.at, set(report.servers), report.started)
        )
        return True

    def _clear(self, suspect: _Suspect, at: float) -> bool:
        """Drop the waves up to a time; return whether there were any."""
        wave_count = len(suspect.waves)
        suspect.cleared_at = max(suspect.cleared_at, at)
        suspect.canary = False
        suspect.waves = [wave for wave in suspect.waves if wave.at > at]
        return len(suspect.waves) < wave_count

    def _quarantine_if_repeated(
        self, report: LossReport, suspect: _Suspect
    ) -> None:
        waves = self._implicating_waves(report.at, suspect)
        if len(waves) < self._min_waves(suspect):
            return
        server_ids = sorted(suspect.servers())
        evidence = f'{len(waves)} losses: {", ".join(server_ids[:8])}'
        self.adopt(
            (
                QuarantineEntry(
                    report.fingerprint,
                    report.at + self._options.hold_s,
                    evidence,
                ),
            )
        )
        # A coordinator may have missed the reports of the first wave.
        self._reports.extend(
            LossReport(
                report.fingerprint,
                tuple(sorted(wave.servers)),
                wave.at,
                wave.started,
            )
            for wave in waves
        )
        self._clear(suspect, report.at)

    def _implicating_waves(self, at: float, suspect: _Suspect) -> list[_Wave]:
        suspect.waves = [
            wave
            for wave in suspect.waves
            if wave.last > at - self._options.hold_s
        ]
        own_servers = suspect.servers()
        return [
            wave
            for wave in suspect.waves
            if self._implicates_request(wave, own_servers)
        ]

    def _implicates_request(self, wave: _Wave, own_servers: set[str]) -> bool:
        """Tell whether a wave implicates the request.

        It does not when too many of the servers lost around the wave were lost
        without it: they probably share another cause, such as the failure of a
        zone.
        """
        low = wave.at - self._options.window_s
        high = wave.last + self._options.wave_s
        lost_nearby = {
            server
            for server, at in self._loss_times.items()
            if low < at <= high
        }
        max_unrelated = self._options.max_unrelated_share * len(
            lost_nearby | wave.servers
        )
        return len(lost_nearby - own_servers) <= max_unrelated
