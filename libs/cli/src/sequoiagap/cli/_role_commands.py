"""Commands that run the process of a role."""

import asyncio

from cleo import helpers
from cleo.commands import command

from sequoiagap import base, settings
from sequoiagap.cli import _exit_codes


class _RoleCommand(command.Command):
    """Runs the process of one role; subclasses define ``run_role()``."""

    arguments = [helpers.argument("settings", "settings file")]
    role = ""

    def handle(self):
        """Load the settings and run the role until a signal stops it."""
        try:
            loaded = settings.load(self.argument("settings"))
        except base.ConfigError as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.BAD_USAGE
        if loaded.role != self.role:
            self.line_error(f"role is {loaded.role!r}. {_start_remedy(loaded.role)}")
            return _exit_codes.ExitCode.BAD_USAGE
        base.configure_logs(loaded.log_level, node=loaded.node_id)
        base.get_logger("main").emit(base.Event.PROCESS_STARTED, role=self.role)
        return self._run(loaded)

    def _run(self, loaded):
        try:
            asyncio.run(self.run_role(loaded))
        except base.ConfigError as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.BAD_USAGE
        except OSError as error:
            self.line_error(
                f"{loaded.node_id} can't listen ({error}). "
                "Check address and port in the settings"
            )
            return _exit_codes.ExitCode.FAILED
        return _exit_codes.ExitCode.DONE


class EntryCommand(_RoleCommand):
    """``sequoiagap entry``."""

    name = "entry"
    description = "Run the process of an entry host."
    role = "entry"

    async def run_role(self, loaded):
        """Run the entry."""
        from sequoiagap import entry

        await entry.run(loaded)


class AgentCommand(_RoleCommand):
    """``sequoiagap agent``."""

    name = "agent"
    description = "Run the process beside an endpoint."
    role = "agent"

    async def run_role(self, loaded):
        """Run the agent; its imports exclude the HTTP server."""
        from sequoiagap import agent

        await agent.run(loaded)


def _start_remedy(role):
    if role in settings.ADAPTED_ROLES:
        return "A platform's adapter starts it, see docs/OPERATIONS.md"
    return f"Use 'sequoiagap {role}'"


COMMANDS = (EntryCommand, AgentCommand)
