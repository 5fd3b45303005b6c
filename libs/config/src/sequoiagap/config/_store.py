"""Configuration store: submits patches to the platform and reads versions."""

import asyncio
import time

import expression

from sequoiagap import base
from sequoiagap.config import _harm, _head, _history, _newest, _refusals, _writer

SUBMIT_TIMEOUT_S = 5.0
NEWEST_TIMEOUT_S = 0.5


class ConfigStore:
    """Stores configuration versions in the platform's object API.

    :param sequoiagap.platform.PlatformClient client: client of the platform.
    :param validators: functions of a document that return the path of an invalid key
        and the reason, or ``None`` if the document is valid.
    :param float timeout_s: time limit of a submission, in seconds.
    """

    def __init__(self, client, validators=(), timeout_s=SUBMIT_TIMEOUT_S):
        self.client = client
        self.validators = validators
        self.timeout_s = timeout_s
        self._segments = _history.HistorySegments(client)
        self._newest = _newest.NewestWriter(client)

    async def read(self):
        """Return the content of the configuration object; number 0 if there is none.

        :rtype: Head
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        return _head.parse_head(await self.client.get(_head.CONFIG_OBJECT))

    async def history(self, before=0):
        """Return the history of accepted patches, oldest first.

        :param int before: version number; return the entries of the sealed segment
            of the version before it. 0 returns the newest entries.
        :rtype: list[HistoryEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        :raises sequoiagap.base.ConfigError: if the object is malformed.
        """
        if before <= 0:
            return (await self.read()).history
        return await self._segments.read(_history.segment_of(before - 1))

    async def submit(self, patch, facts=None, min_number=0):
        """Submit a patch within ``timeout_s``.

        :param Patch patch: patch to apply.
        :param HarmFacts facts: input of the harm checks; empty by default.
        :param int min_number: version in force in this process; a platform with a
            lower version is not written.
        :returns: the accepted version, or the refusal of the patch.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        facts = facts or _harm.HarmFacts()
        prepare = _writer.Preparation(
            self._segments, self.validators, patch, facts, min_number
        )
        return await self._write(patch, prepare)

    async def restore(self, version, patch):
        """Write a version in force back to a platform that lost it.

        :param ConfigVersion version: version in force.
        :param Patch patch: id and operator of the restore; its changes are ignored.
        :returns: the accepted version, or the refusal.
        :rtype: expression.Result[Accepted, sequoiagap.base.Refusal]
        """
        return await self._write(patch, _writer.Restoration(version, patch))

    async def _write(self, patch, prepare):
        deadline = time.monotonic() + self.timeout_s
        writer = _writer.Writer(self.client, self._segments, prepare, deadline)
        try:
            async with asyncio.timeout(self.timeout_s):
                result = await writer.run()
            if result.is_ok():
                await self._write_newest(result.ok, writer.head_version_, deadline)
            return result
        except TimeoutError:
            message = f"the platform did not answer within {self.timeout_s} s"
        except base.PlatformError as error:
            message = error.message
        except base.ConfigError as error:
            return expression.Error(_refusals.malformed(error))
        return expression.Error(
            _refusals.platform_down(message, writer.may_have_written_, patch)
        )

    async def _write_newest(self, accepted, head_version, deadline):
        """Write the newest patches for watchers; a failure does not undo the patch."""
        if accepted.version is None:
            return
        newest = _newest.newest_patches(head_version, accepted.version, accepted.steps)
        timeout_s = min(NEWEST_TIMEOUT_S, deadline - time.monotonic())
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                await self._newest.write(newest)
        except TimeoutError:
            return
