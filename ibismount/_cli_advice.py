"""Next steps to suggest to an operator after an error, by error code."""

from collections.abc import Mapping

from ibismount.errors import ErrorCode

__all__ = ('ADVICE',)

ADVICE: Mapping[str, str] = {
    ErrorCode.BAD_REQUEST: 'correct the error above and run the command again',
    ErrorCode.BODY_TOO_LARGE: 'send a smaller body, or raise limits.body_bytes',
    ErrorCode.UNKNOWN_TEMPLATE: (
        '`ibismountctl template get` lists the templates'
    ),
    ErrorCode.UNKNOWN_TEAM: (
        '`ibismountctl parameters get` lists the teams; apply parameters for '
        'this team and template first'
    ),
    ErrorCode.UNAUTHORIZED: (
        'set IBISMOUNT_TOKEN or pass --token-file with a token from the '
        "node's settings (operators)"
    ),
    ErrorCode.CHANGE_INVALID: 'correct the errors above and apply again',
    ErrorCode.CHANGE_CONFLICT: (
        'review the other change, then run the command again if your change '
        'still applies'
    ),
    ErrorCode.CHANGE_UNKNOWN: (
        'it may have taken effect; check the `history` of the entry before '
        'you retry'
    ),
    ErrorCode.OUTCOME_UNKNOWN: (
        'it may have taken effect; to retry a booking, pass the same '
        '--request-id'
    ),
    ErrorCode.PLATFORM_UNAVAILABLE: (
        'nothing was changed; searches continue; retry when the platform is '
        'available'
    ),
    ErrorCode.LINK_LOST: 'check the address, or pass another node with --node',
    ErrorCode.UNCONFIRMED: (
        'the node is isolated; pass another node with --node'
    ),
}
