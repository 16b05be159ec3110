"""Requests to an entry, its answers, and its port to the gateways."""

import abc
import dataclasses
import enum
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

from ibismount.cause import Cause
from ibismount.merging import Coverage, Result
from ibismount.messages import BatchReply, BatchRequest, Cancel

__all__ = (
    'AnswerStatus',
    'BookingAnswer',
    'BookingRequest',
    'GatewayPort',
    'SearchAnswer',
    'SearchRequest',
)


class AnswerStatus(enum.StrEnum):
    """The outcomes of a request."""

    ANSWERED = 'answered'
    # No backend server ran any part of the request.
    NOT_RUN = 'not_run'
    # A backend server may have run some part of the request.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """A request for one page of results.

    ``cursor`` is empty for the first page. ``shards`` restricts the search
    and its coverage to these shards; empty means all.
    """

    team: str
    template: str
    query: Mapping[str, Any]
    request_id: str = ''
    cursor: str = ''
    shards: tuple[str, ...] = ()
    trace_parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class BookingRequest:
    """A request for one booking at one shard."""

    team: str
    template: str
    request_id: str
    shard: str
    body: Mapping[str, Any]
    trace_parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SearchAnswer:
    """The answer to a search; ``coverage`` is None when nothing was planned.

    ``hedges`` counts extra sub-requests sent beside running ones; ``retries``
    counts those sent after a refusal or a loss.
    """

    status: AnswerStatus
    request_id: str
    attempt_id: str
    trace_id: str
    latency_s: float
    config_version: int
    snapshot: str = ''
    results: Sequence[Result] = ()
    coverage: Coverage | None = None
    cursor: str = ''
    cause: Cause | None = None
    hedges: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BookingAnswer:
    """The answer to a booking.

    ``earlier`` means that another attempt had already run it.
    """

    status: AnswerStatus
    request_id: str
    attempt_id: str
    trace_id: str
    latency_s: float
    config_version: int
    answer: Any = None
    earlier: bool = False
    cause: Cause | None = None


class GatewayPort(abc.ABC):
    """Connection to the gateways, over links or in the same process."""

    @abc.abstractmethod
    def run(
        self, node_id: str, batch: BatchRequest
    ) -> AsyncIterator[BatchReply]:
        """Send a batch and yield its replies up to the final one.

        Raises:
            IbismountError: ``peer_refused`` when no part of the batch was
                sent; ``link_lost`` when it may have been sent.
        """

    @abc.abstractmethod
    def cancel(self, node_id: str, message: Cancel) -> None:
        """Queue a cancel message without waiting for the link."""
