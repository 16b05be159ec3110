"""Options and shared state of the searches of one entry."""

import dataclasses
import random

from ibismount._requests import GatewayPort
from ibismount.hedging import ExtraLoadBudget, LatencyEstimator
from ibismount.load_tracker import LoadTracker
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.retries import RetryOptions

__all__ = ('SearchContext', 'SearchOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class SearchOptions:
    """Bounds of one search; times in seconds.

    ``hedge``, ``retry`` and ``replan`` can be switched off for baselines
    and tests.
    """

    retries: RetryOptions = RetryOptions()
    max_replans: int = 2
    max_lost_canaries: int = 3
    hedge_quantile: float = 0.95
    # Fraction of the deadline after which to hedge while there is no latency
    # estimate.
    initial_hedge_fraction: float = 0.25
    # A network round trip alone takes about this long.
    min_hedge_delay_s: float = 0.002
    # A sub-request is urgent at this multiple of the delay of a first hedge,
    # and this many tokens are reserved for urgent ones.
    urgent_hedge_factor: float = 6
    reserved_urgent_tokens: int = 6
    # A hedge that got no token or target is tried again after this time.
    hedge_retry_delay_s: float = 0.01
    # A retry this close to the end would rarely be answered in time, and would
    # turn a refusal (known not to have run) into an unknown outcome.
    min_retry_time_s: float = 0.02
    hedge: bool = True
    retry: bool = True
    replan: bool = True


@dataclasses.dataclass(slots=True)
class SearchContext:
    """State that a search shares with the other requests of its entry."""

    view: NodeView
    ports: GatewayPort
    load: LoadTracker
    budget: ExtraLoadBudget
    latency: LatencyEstimator
    quarantine: Quarantine
    rng: random.Random
    options: SearchOptions
