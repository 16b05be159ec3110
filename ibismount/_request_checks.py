"""Checks of a request before an entry runs it."""

from ibismount.admission import EntryAdmission
from ibismount.cause import Cause, system_cause
from ibismount.errors import ErrorCode, IbismountError
from ibismount.node_view import NodeView
from ibismount.quarantine import Quarantine
from ibismount.template import Kind, Policy, make_policy

__all__ = ('RequestChecks',)


class RequestChecks:
    """Refuse requests that must not or cannot run.

    Args:
        view: The node's control tables.
        quarantine: Identifies requests that crash backend servers.
        admission: Limits the requests in flight; None for no limit.
    """

    def __init__(
        self,
        view: NodeView,
        quarantine: Quarantine,
        admission: EntryAdmission | None,
    ) -> None:
        """Store the tables that the checks use."""
        self._view = view
        self._quarantine = quarantine
        self._admission = admission

    def get_policy(self, team: str, template_name: str, kind: Kind) -> Policy:
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
                f'there is no template named {template_name}',
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
                f'template {template_name} is of kind {template.kind}',
                place='template',
            )
        return make_policy(template, parameters)

    def try_admit(self, policy: Policy, fingerprint: str) -> Cause | None:
        """Admit a request, or return why it is refused.

        Returns:
            The cause of the refusal, or None after the request was counted as
            in flight; then `release` must follow.
        """
        refusal = self._view.refusal()
        if refusal is not None:
            return refusal
        if policy.collection not in self._view.state.catalogs:
            return system_cause(
                ErrorCode.NO_REPLICA,
                f'no catalog for collection {policy.collection}',
            )
        mode = self._quarantine.run_mode(self._view.now(), fingerprint)
        if mode.name == 'REFUSED':
            return system_cause(
                ErrorCode.QUARANTINED,
                f'requests with fingerprint {fingerprint} are quarantined',
            )
        if self._admission and not self._admission.admit(
            policy.team, policy.weight
        ):
            return system_cause(
                ErrorCode.ENTRY_BUSY,
                f'team {policy.team} uses all of its share',
            )
        return None

    def release(self, team: str) -> None:
        """Stop counting an admitted request as in flight."""
        if self._admission:
            self._admission.release(team)

    def record_completion(
        self, policy: Policy, started: float, *, smooth: bool
    ) -> None:
        """Adapt the admission limit to the duration of a finished request."""
        if self._admission:
            now = self._view.now()
            self._admission.adapt_limit(
                now,
                on_time=smooth and now - started <= policy.deadline_s,
                target_s=policy.deadline_s,
            )
