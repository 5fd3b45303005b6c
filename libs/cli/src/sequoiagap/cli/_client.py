"""HTTP client of the operators' commands, which call an entry."""

import asyncio
import dataclasses
import os
import ssl

import aiohttp

from sequoiagap import base

TIMEOUT_S = 10.0
KEY_VARIABLE = "SEQUOIAGAP_OPERATOR_KEY"
CA_VARIABLE = "SEQUOIAGAP_CA_FILE"
REFUSED_STATUS = 400
_ERROR_FIELDS = ("type", "message", "remedy", "outcome")


class UsageError(base.SequoiagapError):
    """An argument, option or environment variable is missing or invalid."""


class EntryUnreachableError(base.SequoiagapError):
    """The entry did not answer, and nothing was changed."""


class EffectUnknownError(base.SequoiagapError):
    """The answer to a change was lost, so the change may be in force."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer of an entry.

    :param int status: HTTP status.
    :param dict document: decoded JSON body.
    """

    status: int
    document: dict

    @property
    def refused(self):
        """Whether the entry rejected the call."""
        return self.status >= REFUSED_STATUS


def call(url, method, path, body=None):
    """Call an entry, with the operator key from the environment.

    :param str url: base URL of the entry.
    :param str method: HTTP method.
    :param str path: HTTP path.
    :param dict body: JSON body, or ``None``.
    :rtype: Reply
    :raises UsageError: if the environment has no key or an invalid CA file.
    :raises EntryUnreachableError: if the entry does not answer.
    :raises EffectUnknownError: if the answer to a change was lost.
    """
    key = os.environ.get(KEY_VARIABLE)
    if not key:
        raise UsageError(
            f"the environment variable {KEY_VARIABLE} is not set",
            "Put your operator key into it",
        )
    reply = asyncio.run(_call(url, method, path, body, key, _ssl_context()))
    _check_reply(url, reply)
    return reply


def _ssl_context():
    path = os.environ.get(CA_VARIABLE)
    if not path:
        return True
    try:
        context = ssl.create_default_context(cafile=path)
    except OSError as error:
        raise UsageError(
            f"{CA_VARIABLE}: {path} can't be used ({error})",
            "Name the file with the CA's certificate in PEM",
        ) from error
    context.check_hostname = False
    return context


async def _call(url, method, path, body, key, context):
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
            session.request(method, url + path, json=body, ssl=context) as response,
        ):
            return Reply(response.status, await response.json())
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        raise _unreachable(url, str(error)) from error
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        if method == "GET":
            raise _unreachable(url, repr(error)) from error
        raise EffectUnknownError(
            f"{url} gave no valid answer ({error!r})",
            "The change may be in force: look at 'config history'",
        ) from error


def _check_reply(url, reply):
    """Raise an error if the answer does not come from an entry."""
    error = reply.document.get("error") if isinstance(reply.document, dict) else None
    if not isinstance(reply.document, dict):
        raise _unreachable(url, "the answer is not a JSON object")
    if reply.refused and not _is_refusal(error):
        raise _unreachable(url, f"status {reply.status} without a refusal")


def _is_refusal(error):
    return isinstance(error, dict) and all(name in error for name in _ERROR_FIELDS)


def _unreachable(url, reason):
    return EntryUnreachableError(
        f"{url} does not answer as an entry ({reason})",
        "Name another entry with --entry",
    )
