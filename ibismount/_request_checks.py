"""Checks that a request passes before an entry runs it."""

from ibismount.admission import EntryAdmission
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.template import Kind, Policy, make_policy

__all__ = ('RequestChecks',)


class RequestChecks:
    """Refuse what must not or cannot be run.

    Args:
        view: The node's control tables.
        quarantine: Knows which requests crash backend servers.
        admission: Bounds the requests in flight; None for no bound.
    """

    def __init__(
        self,
        view: NodeView,
        quarantine: Quarantine,
        admission: EntryAdmission | None,
    ) -> None:
        """Take what the checks depend on."""
        self._view = view
        self._quarantine = quarantine
        self._admission = admission

    def policy(self, team: str, template_name: str, kind: Kind) -> Policy:
        """Return the policy of a team's template.

        Raises:
            IbismountError: ``bad_request``, ``unknown_template`` or
                ``unknown_team``.
        """
        state = self._view.state
        template = state.templates.get(template_name)
        if template is None:
            raise IbismountError(
                ErrorCode.UNKNOWN_TEMPLATE,
                f'no template is named {template_name}',
                place='template',
            )
        parameters = state.parameters.get((team, template_name))
        if parameters is None:
            raise IbismountError(
                ErrorCode.UNKNOWN_TEAM,
                f'team {team} has no parameters for {template_name}',
                place='team',
            )
        if template.kind is not kind:
            raise IbismountError(
                ErrorCode.BAD_REQUEST,
                f'{template_name} is a template for {template.kind}',
                place='template',
            )
        return make_policy(template, parameters)

    def try_admit(self, policy: Policy, fingerprint: str) -> Cause | None:
        """Return why a request is not run; None takes a place for it."""
        refusal = self._view.refusal()
        if refusal is not None:
            return refusal
        if policy.collection not in self._view.state.catalogs:
            return system_cause(
                ErrorCode.NO_REPLICA, f'no collection {policy.collection}'
            )
        mode = self._quarantine.run_mode(self._view.now(), fingerprint)
        if mode.name == 'REFUSED':
            return system_cause(
                ErrorCode.QUARANTINED, f'fingerprint {fingerprint}'
            )
        if self._admission and not self._admission.admit(
            policy.team, policy.weight
        ):
            return system_cause(
                ErrorCode.ENTRY_BUSY, f'{policy.team} holds its share'
            )
        return None

    def release(self, team: str) -> None:
        """Give back the place of a request that was not refused."""
        if self._admission:
            self._admission.release(team)

    def record_completion(
        self, policy: Policy, started: float, *, smooth: bool
    ) -> None:
        """Let the admission learn from a request that was run."""
        if self._admission:
            now = self._view.now()
            self._admission.adapt_limit(
                now,
                on_time=smooth and now - started <= policy.deadline_s,
                target_s=policy.deadline_s,
            )
