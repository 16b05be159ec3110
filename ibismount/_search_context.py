"""What the searches of one entry share."""

import dataclasses
import random

from ibismount._requests import GatewayPort
from ibismount.hedging import ExtraLoadBudget, LatencyEstimator
from ibismount.load_tracker import LoadTracker
from ibismount.quarantine import Quarantine
from ibismount.retries import RetryOptions
from ibismount.view import NodeView

__all__ = ('SearchContext', 'SearchOptions')


@dataclasses.dataclass(frozen=True, slots=True)
class SearchOptions:
    """Bounds of one search; times in seconds.

    ``hedge``, ``retry`` and ``replan`` can be switched off for baselines
    and tests.
    """

    retries: RetryOptions = RetryOptions()
    replans: int = 2
    lost_canaries: int = 3
    hedge_quantile: float = 0.95
    # Without an estimate, the part of the deadline after which to hedge.
    first_hedge: float = 0.25
    # The network alone takes about this long.
    least_hedge_s: float = 0.002
    # A sub-request is urgent at this many times the age of a first hedge, and
    # this many tokens are kept for urgent ones.
    urgent_after: float = 6
    urgent_tokens: int = 6
    # Without a token, a hedge is tried again after this time.
    hedge_pause_s: float = 0.01
    # A retry this close to the end would hardly be answered, and would turn
    # a refusal that is known not to have run into an unknown outcome.
    least_time_s: float = 0.02
    hedge: bool = True
    retry: bool = True
    replan: bool = True


@dataclasses.dataclass(slots=True)
class SearchContext:
    """What a search shares with the other requests of its entry."""

    view: NodeView
    ports: GatewayPort
    load: LoadTracker
    budget: ExtraLoadBudget
    latency: LatencyEstimator
    quarantine: Quarantine
    rng: random.Random
    options: SearchOptions
