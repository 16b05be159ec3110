"""The operators' command line, ``ibismountctl``.

Exit statuses: 0 success, 1 refused or failed, 2 committed but not yet
accepted by a quorum of nodes, 3 unknown whether it took effect.
"""

import sys

import httpx
from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from ibismount import _cli_entries as entries
from ibismount import _cli_logs as logs
from ibismount import _cli_requests as requests
from ibismount.telemetry import configure_telemetry

__all__ = ('main', 'make_application')


def make_application(
    transport: httpx.BaseTransport | None = None,
) -> Application:
    """Build the application with all commands.

    Args:
        transport: HTTP transport that replaces the network in tests.
    """
    entry_commands = (
        (entries.GetCommand, 'template', 'templates'),
        (entries.ApplyCommand, 'template', 'templates'),
        (entries.HistoryCommand, 'template', 'templates'),
        (entries.GetCommand, 'parameters', 'parameters'),
        (entries.DiffCommand, 'parameters', 'parameters'),
        (entries.ApplyCommand, 'parameters', 'parameters'),
        (entries.HistoryCommand, 'parameters', 'parameters'),
        (entries.OutCommand, 'zone', 'zones'),
        (entries.InCommand, 'zone', 'zones'),
        (entries.ServiceStatusCommand, 'zone', 'zones'),
        (entries.OutCommand, 'vm', 'vms'),
        (entries.InCommand, 'vm', 'vms'),
        (entries.ForgetCommand, 'vm', 'vms'),
    )
    application = Application('ibismountctl')
    for command_class, noun, kind in entry_commands:
        application.add(command_class(noun, kind, transport))
    for api_command_class in (
        requests.StatusCommand,
        requests.TimelineCommand,
        requests.ExplainCommand,
        requests.SearchCommand,
        requests.BookCommand,
    ):
        application.add(api_command_class(transport))
    application.add(logs.LogsExplainCommand())
    application.add(logs.LogsTimelineCommand())
    return application


def main() -> None:
    """Run ``ibismountctl``; traces of its requests start in this process."""
    configure_telemetry('none', node_id='ibismountctl')
    argv = sys.argv
    if argv[1:] in (['--help'], ['-h']):
        # cleo would show the help of its default command, which lists them.
        argv = [argv[0], 'list']
    sys.exit(make_application().run(ArgvInput(argv)))


if __name__ == '__main__':
    main()
