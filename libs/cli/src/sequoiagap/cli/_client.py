"""HTTP calls from operators' commands to an entry."""

import asyncio
import dataclasses
import os

import aiohttp

from sequoiagap import base

TIMEOUT_S = 10.0
KEY_VARIABLE = "SEQUOIAGAP_OPERATOR_KEY"


class EntryUnreachableError(base.SequoiagapError):
    """No entry answered."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer of an entry.

    :param int status: HTTP status.
    :param dict document: JSON body.
    """

    status: int
    document: dict


def call(url, method, path, body=None):
    """Call an entry with the operator key of the environment.

    :param str url: where the entry listens.
    :param str method: HTTP method.
    :param str path: HTTP path.
    :param dict body: JSON body, or ``None``.
    :rtype: Reply
    :raises EntryUnreachableError: if the entry does not answer.
    """
    return asyncio.run(_call(url, method, path, body))


async def _call(url, method, path, body):
    key = os.environ.get(KEY_VARIABLE, "")
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, url + path, json=body) as response,
        ):
            return Reply(response.status, await response.json())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise EntryUnreachableError(
            f"{url} does not answer ({error!r})",
            "Name another entry with --entry; a change may have been accepted: "
            "look at 'config history' before submitting it again",
        ) from error
