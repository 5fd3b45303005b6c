"""Commands that run a role or check its settings."""

import asyncio

from cleo import helpers
from cleo.commands import command

from sequoiagap import base, settings
from sequoiagap.cli import _exit_codes


class _SettingsCommand(command.Command):
    arguments = [helpers.argument("settings", "settings file")]

    def handle(self):
        """Load the settings file and act on it."""
        try:
            loaded = settings.load(self.argument("settings"))
        except base.ConfigError as error:
            self.line_error(str(error))
            return _exit_codes.ExitCode.BAD_USAGE
        return self.act(loaded)


class _RoleCommand(_SettingsCommand):
    role = ""

    def act(self, loaded):
        """Run the role until it is told to stop."""
        if loaded.role != self.role:
            self.line_error(f"role is {loaded.role!r}. Use 'sequoiagap {loaded.role}'")
            return _exit_codes.ExitCode.BAD_USAGE
        base.configure_logs(loaded.log_level, node=loaded.node_id)
        base.get_logger("main").emit(base.Event.PROCESS_STARTED, role=self.role)
        try:
            asyncio.run(self.run_role(loaded))
        except (base.ConfigError, OSError) as error:
            self.line_error(str(error))
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
        """Run the agent; its imports leave out the HTTP server."""
        from sequoiagap import agent

        await agent.run(loaded)


class CheckCommand(_SettingsCommand):
    """``sequoiagap check``."""

    name = "check"
    description = "Check a settings file."

    def act(self, loaded):
        """Say that the file is good."""
        self.line(f"{self.argument('settings')}: good settings for {loaded.role}")
        return _exit_codes.ExitCode.DONE


COMMANDS = (EntryCommand, AgentCommand, CheckCommand)
