"""Submission of patches to the platform and reading of versions from it."""

import asyncio
import time

import expression

from sequoiagap import base
from sequoiagap.config import _harm, _head, _history, _newest, _refusals, _writer

SUBMIT_TIMEOUT_S = 5.0
NEWEST_BOUND_S = 0.5


class ConfigStore:
    """Versions in the platform's object API.

    :param sequoiagap.platform.PlatformClient client: the platform.
    :param validators: functions of a document that return the path of a bad key
        and what is wrong with it, or ``None``.
    :param float timeout_s: longest time that a submission may take, in seconds.
    """

    def __init__(self, client, validators=(), timeout_s=SUBMIT_TIMEOUT_S):
        self.client = client
        self.validators = validators
        self.timeout_s = timeout_s
        self._segments = _history.HistorySegments(client)
        self._newest = _newest.NewestWriter(client)

    async def read(self):
        """Return the configuration object; number 0 where there is none.

        :rtype: Head
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        return _head.parse_head(await self.client.get(_head.CONFIG_OBJECT))

    async def history(self, before=0):
        """Return accepted patches, oldest first.

        :param int before: return the sealed patches of the segment that ends
            below this version; 0 returns the newest ones.
        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        if before <= 0:
            return (await self.read()).history
        return await self._segments.read(_history.segment_of(before - 1))

    async def submit(self, patch, facts=None, min_number=0):
        """Submit a patch; takes at most ``bound_s``.

        :param Patch patch: what to change.
        :param HarmFacts facts: what the harm checks rest on; no facts by default.
        :param int floor: version in force here; an older platform is not written.
        :returns: what became of it, or why it was refused.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        facts = facts or _harm.HarmFacts()
        prepare = _writer.Preparation(
            self._segments, self.validators, patch, facts, min_number
        )
        return await self._write(patch, prepare)

    async def restore(self, version, patch):
        """Write a version in force back to a platform that lost it.

        :param ConfigVersion version: the version in force.
        :param Patch patch: who orders it, under which id.
        :returns: what became of it, or why it was refused.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        return await self._write(patch, _writer.Restoration(version, patch))

    async def _write(self, patch, prepare):
        end = time.monotonic() + self.timeout_s
        writer = _writer.Writer(self.client, self._segments, prepare, end)
        try:
            async with asyncio.timeout(self.timeout_s):
                result = await writer.run()
            if result.is_ok():
                await self._write_newest(result.ok, writer.head_version_, end)
            return result
        except TimeoutError:
            message = f"the platform gave no answer within {self.timeout_s} s"
        except base.PlatformError as error:
            message = error.message
        except base.ConfigError as error:
            return expression.Error(_refusals.malformed(error))
        return expression.Error(_refusals.platform_down(message, writer.sent_, patch))

    async def _write_newest(self, accepted, head_version, end):
        """Tell watchers; whatever becomes of it, the patch stays accepted."""
        if accepted.version is None:
            return
        newest = _newest.newest_patches(head_version, accepted.version, accepted.steps)
        bound_s = min(NEWEST_BOUND_S, end - time.monotonic())
        try:
            async with asyncio.timeout(max(bound_s, 0.0)):
                await self._newest.write(newest)
        except TimeoutError:
            return
