"""Client of the platform: objects with versions, watches and the host list."""

import asyncio
import dataclasses

import aiohttp

from sequoiagap import base
from sequoiagap.platform import _sessions

WATCH_TIMEOUT_S = 20.0
MAX_VALUE_BYTES = 1_000_000
_CALL_LIMIT_REMEDY = "Check the platform and the network to it"


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object of the platform.

    :param str name: its name.
    :param int version: its version in the platform, from 1.
    :param dict value: what it holds.
    """

    name: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A host of the platform's lagging list.

    :param str host_id: id of the host, equal to the node id of its process.
    :param str role: ``entry`` or ``agent``.
    :param str address: IP address.
    :param int port: port of the process for its peers.
    :param str failure_domain: where it stands.
    :param str state: ``live`` or ``leaving``.
    :param list serves: names of the models or services of an endpoint.
    """

    host_id: str
    role: str
    address: str
    port: int
    failure_domain: str
    state: str = "live"
    serves: list = dataclasses.field(default_factory=list)


class ObjectConflict(base.SequoiagapError):
    """A conditional update met another version.

    :param int version: version of the object now; 0 if it does not exist.
    """

    def __init__(self, name, version):
        super().__init__(
            f"object {name!r} is at version {version}", "Read it and try again"
        )
        self.version = version


class PlatformClient:
    """Calls of the platform's object API.

    :param str url: where the platform listens.
    :param float timeout_s: longest wait for an answer, in seconds.

    :ivar int calls_: calls made so far, waiting watches included.

    .. code-block:: python

        client = platform.PlatformClient("http://127.0.0.1:7000")
        stored = await client.get("config")
    """

    def __init__(self, url, timeout_s=1.0):
        self.url = url
        self.timeout_s = timeout_s
        self.calls_ = 0
        self._sessions = _sessions.HttpSessions()

    async def close(self):
        """Close the connections to the platform."""
        await self._sessions.close()

    async def get(self, name):
        """Return an object, or ``None`` where there is none.

        :param str name: name of the object.
        :rtype: StoredObject | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        status, document = await self._call("GET", f"/objects/{name}")
        return _stored(name, document) if status == 200 else None

    async def put(self, name, value, expected_version):
        """Write an object if it still has the expected version.

        :param str name: name of the object.
        :param dict value: what it shall hold.
        :param int expected_version: its version now; 0 creates it.
        :rtype: StoredObject
        :raises ObjectConflict: if it has another version.
        :raises sequoiagap.base.PlatformError: if the platform does not answer;
            ``effect_unknown`` tells whether the write may have taken effect.
        """
        body = {"expected_version": expected_version, "value": value}
        status, document = await self._call("PUT", f"/objects/{name}", body)
        if status == 409:
            raise ObjectConflict(name, document["version"])
        return StoredObject(name, document["version"], value)

    async def delete(self, name, expected_version):
        """Delete an object if it still has the expected version.

        :param str name: name of the object.
        :param int expected_version: its version now.
        :raises ObjectConflict: if it has another version.
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        path = f"/objects/{name}?expected_version={expected_version}"
        status, document = await self._call("DELETE", path)
        if status == 409:
            raise ObjectConflict(name, document["version"])

    async def watch(self, name, after_version, timeout_s=WATCH_TIMEOUT_S):
        """Wait until an object passes a version.

        :param str name: name of the object.
        :param int after_version: version that is known already.
        :param float timeout_s: how long the platform may hold the call.
        :returns: the newer object, or ``None`` if there was none in time.
        :rtype: StoredObject | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        path = f"/objects/{name}/watch?after={after_version}&timeout_s={timeout_s}"
        status, document = await self._call(
            "GET", path, timeout_s=timeout_s + self.timeout_s
        )
        return _stored(name, document) if status == 200 else None

    async def list_hosts(self):
        """Return the lagging list of live and leaving hosts.

        :rtype: list[HostEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        _, document = await self._call("GET", "/hosts")
        try:
            return [HostEntry(**host) for host in document["hosts"]]
        except (TypeError, KeyError) as error:
            raise base.PlatformError(
                f"host list is malformed ({error})", _CALL_LIMIT_REMEDY
            ) from error

    async def _call(self, method, path, body=None, timeout_s=None):
        self.calls_ += 1
        with self._sessions.borrow() as session:
            request = session.request(method, self.url + path, json=body)
            timer = asyncio.timeout(timeout_s or self.timeout_s)
            return await self._finish_call(method, request, session, timer)

    async def _finish_call(self, method, request, session, timer):
        try:
            async with timer, request as response:
                if response.status >= 500:
                    raise _unanswered(method, f"status {response.status}")
                if response.status == 204:
                    return 204, {}
                return response.status, await response.json()
        except aiohttp.ClientConnectorError as error:
            raise base.PlatformError(
                f"platform can't be reached ({error})", _CALL_LIMIT_REMEDY
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            self._sessions.renew(session)
            raise _unanswered(method, repr(error)) from error
        except ValueError as error:
            raise _unanswered(method, repr(error)) from error


def _stored(name, document):
    return StoredObject(name, document["version"], document["value"])


def _unanswered(method, reason):
    return base.PlatformError(
        f"platform gave no proper answer ({reason})",
        _CALL_LIMIT_REMEDY,
        effect_unknown=method != "GET",
    )
