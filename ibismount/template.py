"""Templates, team parameters, and the policies combined from them."""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import pydantic

from ibismount.catalog import findings_of
from ibismount.errors import ErrorCode, Finding, FindingsError

__all__ = (
    'AtDeadline',
    'Kind',
    'Parameters',
    'Policy',
    'Template',
    'make_policy',
    'parse_parameters',
    'parse_template',
)

# A gateway waits this long before it uses a share gained from another gateway,
# so that the other's work has ended. No deadline may therefore be longer.
MAX_DEADLINE_S = 10.0


class Kind(enum.StrEnum):
    """The kinds of request that a template describes."""

    SEARCH = 'search'
    BOOKING = 'booking'


class AtDeadline(enum.StrEnum):
    """What happens when shards are missing at the deadline."""

    WAIT = 'wait'
    PARTIAL = 'partial'
    REFUSE = 'refuse'


class Template(pydantic.BaseModel):
    """Settings and bounds of one kind of request, created by operators.

    ``deadline_ms`` is the target time and ``hard_deadline_ms`` the longest
    time that a request may take. ``least_coverage`` is a fraction of shards.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: str = pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    kind: Kind = Kind.SEARCH
    collection: str = pydantic.Field(min_length=1)
    deadline_ms: int = pydantic.Field(default=200, ge=1, le=10000)
    hard_deadline_ms: int = pydantic.Field(default=1000, ge=1, le=10000)
    least_coverage: float = pydantic.Field(default=1, ge=0, le=1)
    at_deadline: AtDeadline = AtDeadline.PARTIAL
    hedge: bool = True
    priority: int = pydantic.Field(default=1, ge=0, le=2)
    page_size: int = pydantic.Field(default=20, ge=1, le=1000)
    # Bounds for the parameters of teams.
    deadline_range_ms: tuple[int, int] = (1, 10000)
    max_weight: int = pydantic.Field(default=10, ge=1)

    @pydantic.model_validator(mode='after')
    def check_deadlines(self) -> 'Template':
        """Refuse a hard deadline below the target time."""
        if self.hard_deadline_ms < self.deadline_ms:
            raise ValueError('hard_deadline_ms must not be below deadline_ms')
        return self


class Parameters(pydantic.BaseModel):
    """A team's settings for a template; None uses the template's value."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    team: str = pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    template: str = pydantic.Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    deadline_ms: int | None = pydantic.Field(default=None, ge=1, le=10000)
    least_coverage: float | None = pydantic.Field(default=None, ge=0, le=1)
    page_size: int | None = pydantic.Field(default=None, ge=1, le=1000)
    weight: int = pydantic.Field(default=1, ge=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """All settings for handling a request of one team; times in seconds."""

    template: str
    team: str
    kind: Kind
    collection: str
    deadline_s: float
    hard_deadline_s: float
    least_coverage: float
    at_deadline: AtDeadline
    hedge: bool
    priority: int
    page_size: int
    weight: int


def parse_template(body: Mapping[str, Any], *, place: str = '') -> Template:
    """Validate a template; raise FindingsError with ``change_invalid``."""
    try:
        return Template.model_validate(body)
    except pydantic.ValidationError as exc:
        raise FindingsError(findings_of(exc, place=place)) from exc


def parse_parameters(
    body: Mapping[str, Any], template: Template | None, *, place: str = ''
) -> Parameters:
    """Validate a team's parameters against the bounds of their template.

    Raises:
        FindingsError: ``change_invalid`` or ``unknown_template``.
    """
    try:
        parameters = Parameters.model_validate(body)
    except pydantic.ValidationError as exc:
        raise FindingsError(findings_of(exc, place=place)) from exc
    findings = list(_find_out_of_bounds(parameters, template, place))
    if findings:
        raise FindingsError(findings)
    return parameters


def _find_out_of_bounds(parameters, template, place):
    if template is None:
        yield Finding(
            ErrorCode.UNKNOWN_TEMPLATE,
            f'{place}.template'.lstrip('.'),
            f'no template is named {parameters.template}; apply it first',
        )
        return
    min_ms, max_ms = template.deadline_range_ms
    deadline_ms = parameters.deadline_ms
    if deadline_ms is not None and not min_ms <= deadline_ms <= max_ms:
        yield Finding(
            ErrorCode.CHANGE_INVALID,
            f'{place}.deadline_ms'.lstrip('.'),
            f'{deadline_ms} is outside the range {min_ms} to {max_ms} of the '
            'template',
        )
    if deadline_ms is not None and deadline_ms > template.hard_deadline_ms:
        yield Finding(
            ErrorCode.CHANGE_INVALID,
            f'{place}.deadline_ms'.lstrip('.'),
            f'{deadline_ms} exceeds hard_deadline_ms '
            f'{template.hard_deadline_ms} of the template',
        )
    coverage = parameters.least_coverage
    if coverage is not None and coverage < template.least_coverage:
        yield Finding(
            ErrorCode.CHANGE_INVALID,
            f'{place}.least_coverage'.lstrip('.'),
            f'{coverage} is below least_coverage {template.least_coverage} of '
            'the template',
        )
    if parameters.weight > template.max_weight:
        yield Finding(
            ErrorCode.CHANGE_INVALID,
            f'{place}.weight'.lstrip('.'),
            f'{parameters.weight} exceeds max_weight {template.max_weight} of '
            'the template',
        )


def make_policy(template: Template, parameters: Parameters) -> Policy:
    """Combine a template with a team's parameters."""
    deadline_ms = parameters.deadline_ms or template.deadline_ms
    coverage = parameters.least_coverage
    return Policy(
        template=template.name,
        team=parameters.team,
        kind=template.kind,
        collection=template.collection,
        deadline_s=deadline_ms / 1000,
        hard_deadline_s=template.hard_deadline_ms / 1000,
        least_coverage=(
            template.least_coverage if coverage is None else coverage
        ),
        at_deadline=template.at_deadline,
        hedge=template.hedge,
        priority=template.priority,
        page_size=parameters.page_size or template.page_size,
        weight=parameters.weight,
    )
