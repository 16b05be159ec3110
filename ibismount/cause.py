"""Causes of refusals and faults: an operator's change or the system."""

import dataclasses
import enum

from ibismount.errors import ErrorCode

__all__ = ('Cause', 'Origin', 'operator_cause', 'system_cause')


class Origin(enum.StrEnum):
    """Whether an operator or the system caused an effect."""

    OPERATOR = 'operator'
    SYSTEM = 'system'


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Cause of a refusal, a missing shard, an ejection or a quarantine.

    ``detail`` is the evidence for a system cause. ``at`` is Unix time in
    seconds, or 0 for the time of the answer itself.
    """

    code: ErrorCode
    origin: Origin = Origin.SYSTEM
    detail: str = ''
    change_id: str = ''
    who: str = ''
    at: float = 0


def system_cause(code: ErrorCode, detail: str = '') -> Cause:
    """Build a cause that follows from the system's own policy."""
    return Cause(code, Origin.SYSTEM, detail)


def operator_cause(
    code: ErrorCode, *, change_id: str, who: str, at: float, detail: str = ''
) -> Cause:
    """Build a cause that follows from an operator's change."""
    return Cause(code, Origin.OPERATOR, detail, change_id, who, at)
