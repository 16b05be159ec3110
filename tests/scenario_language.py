"""The schema of the scenario files; a file is validated before it runs."""

from typing import Annotated, Literal

import pydantic
import yaml

from ibismount.catalog import findings_of
from ibismount.errors import FindingsError

Seconds = Annotated[float, pydantic.Field(ge=0)]


class StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid')


class Fleet(StrictModel):
    zones: list[str] = ['a', 'b', 'c']
    nodes_per_zone: int = pydantic.Field(default=2, ge=1)
    shards: int = pydantic.Field(default=6, ge=1)
    slots: int = 4
    cold_slots: int = 1
    warm_after: int = 2
    service_ms: float = 5
    # False starts all backend servers warm, but every gateway cold.
    cold_start: bool = False


class Load(StrictModel):
    kind: Literal['search', 'booking'] = 'search'
    team: str = 't1'
    # `search` returns a partial answer after 0.3 s; `complete` waits for all
    # shards for up to 2 s.
    template: Literal['search', 'complete'] = 'search'
    every: Seconds = 0.1
    lasting: Seconds = 5
    nodes: list[str] = []


class ZoneChange(StrictModel):
    name: str
    in_service: bool
    via: str = ''


class ZoneChangeRace(StrictModel):
    zone: str
    via: list[str] = pydantic.Field(min_length=2)


class NetworkCut(StrictModel):
    nodes: list[str]
    from_: list[str] = pydantic.Field(alias='from')
    lasting: Seconds


class NodePeriod(StrictModel):
    node: str
    lasting: Seconds


class ServerSelection(StrictModel):
    servers: list[str] = []
    zone: str = ''


class NewSnapshot(StrictModel):
    id: str
    shards: int
    servers: list[str] = []


class SameBooking(StrictModel):
    request: str
    nodes: list[str]


class Step(StrictModel):
    """One action of a scenario; exactly one field besides ``at`` is set."""

    at: Seconds
    load: Load | None = None
    zone: ZoneChange | None = None
    race: ZoneChangeRace | None = None
    cut: NetworkCut | None = None
    pause: NodePeriod | None = None
    kill: str | None = None
    restart: str | None = None
    stop: str | None = None
    platform_outage: Seconds | None = None
    lose_write_answers: int | None = None
    turn_cold: ServerSelection | None = None
    lose_servers: ServerSelection | None = None
    return_servers: ServerSelection | None = None
    drain_servers: ServerSelection | None = None
    silence_connections: ServerSelection | None = None
    new_snapshot: NewSnapshot | None = None
    same_booking: SameBooking | None = None
    crash_query: NodePeriod | None = None
    delay_messages: Seconds | None = None

    @pydantic.model_validator(mode='after')
    def check_exactly_one_action(self) -> 'Step':
        actions = self.model_fields_set - {'at'}
        if len(actions) != 1:
            raise ValueError(
                f'a step needs exactly one action, got {sorted(actions)}'
            )
        return self


class Expectations(StrictModel):
    invariants: list[str] = pydantic.Field(min_length=1)
    answered_at_least: float = 0.0
    full_coverage_at_least: float = 0.0
    bookings_run_at_least: int = 0
    changes_accepted_at_least: int = 0


class Scenario(StrictModel):
    name: str
    guards_against: str
    seed: int = 1
    lasting: Seconds = 30
    fleet: Fleet = Fleet()
    steps: list[Step] = pydantic.Field(min_length=1)
    expect: Expectations


def parse_scenario(text: str, *, place: str) -> Scenario:
    """Parse and validate a scenario.

    Args:
        text: The YAML text.
        place: The file name that the findings mention.

    Raises:
        FindingsError: The scenario is invalid; it lists every wrong field.
    """
    try:
        return Scenario.model_validate(yaml.safe_load(text))
    except pydantic.ValidationError as exc:
        raise FindingsError(findings_of(exc, place=place)) from exc
