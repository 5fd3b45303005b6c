"""Client of the platform's HTTP API: versioned objects, watches and host list."""

import asyncio
import dataclasses

import aiohttp

from sequoiagap import base
from sequoiagap.platform import _sessions

WATCH_TIMEOUT_S = 20.0
MAX_VALUE_BYTES = 1_000_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # a list of all hosts at the design size
_PLATFORM_REMEDY = "Check the platform and the network to it"


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """A versioned object stored by the platform.

    :param str name: name of the object.
    :param int version: version of the object, from 1.
    :param dict value: content of the object.
    """

    name: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True)
class HostEntry:
    """A host in the platform's host list.

    :param str host_id: id of the host, equal to the node id of its process.
    :param str role: ``entry`` or ``agent``.
    :param str address: IP address.
    :param int port: port of the process for its peers.
    :param str failure_domain: failure domain of the host.
    :param str state: ``live`` or ``leaving``.
    :param list serves: names of the models or services that an endpoint serves.
    """

    host_id: str
    role: str
    address: str
    port: int
    failure_domain: str
    state: str = "live"
    serves: list = dataclasses.field(default_factory=list)


class ObjectConflict(base.SequoiagapError):
    """A conditional write failed because the object has another version.

    :param str name: name of the object.
    :param int version: current version of the object; 0 if it does not exist.
    """

    def __init__(self, name, version):
        super().__init__(
            f"object {name!r} is at version {version}", "Read it and try again"
        )
        self.version = version


class PlatformClient:
    """Reads, writes and watches objects of the platform.

    :param str url: base URL of the platform.
    :param float timeout_s: timeout of a call in seconds.

    :ivar int calls_: calls made so far, pending watches included.

    .. code-block:: python

        client = platform.PlatformClient("http://127.0.0.1:7000")
        stored = await client.get("config")
    """

    def __init__(self, url, timeout_s=1.0):
        self.url = url
        self.timeout_s = timeout_s
        self.calls_ = 0
        self._sessions = _sessions.HttpSessions(max_body_bytes=MAX_ANSWER_BYTES)

    async def close(self):
        """Close all connections to the platform."""
        await self._sessions.close()

    async def get(self, name):
        """Return an object, or ``None`` if it does not exist.

        :param str name: name of the object.
        :rtype: StoredObject | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        status, document = await self._call("GET", f"/objects/{name}")
        return _decode_object(name, document) if status == 200 else None

    async def put(self, name, value, expected_version):
        """Write an object if it still has the expected version.

        :param str name: name of the object.
        :param dict value: new content.
        :param int expected_version: current version; 0 creates the object.
        :rtype: StoredObject
        :raises ObjectConflict: if it has another version.
        :raises sequoiagap.base.PlatformError: if the platform does not answer;
            its ``effect_unknown`` is true if the write may have taken effect.
        """
        body = {"expected_version": expected_version, "value": value}
        status, document = await self._call("PUT", f"/objects/{name}", body)
        if status == 409:
            raise ObjectConflict(name, document["version"])
        return StoredObject(name, document["version"], value)

    async def delete(self, name, expected_version):
        """Delete an object if it still has the expected version.

        :param str name: name of the object.
        :param int expected_version: current version.
        :raises ObjectConflict: if it has another version.
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        path = f"/objects/{name}?expected_version={expected_version}"
        status, document = await self._call("DELETE", path)
        if status == 409:
            raise ObjectConflict(name, document["version"])

    async def watch(self, name, after_version, timeout_s=WATCH_TIMEOUT_S):
        """Wait until an object has a version above a known one.

        :param str name: name of the object.
        :param int after_version: version known to the caller.
        :param float timeout_s: how long the platform may delay its answer, in
            seconds.
        :returns: the newer object, or ``None`` if there was none in time.
        :rtype: StoredObject | None
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        path = f"/objects/{name}/watch?after={after_version}&timeout_s={timeout_s}"
        status, document = await self._call(
            "GET", path, timeout_s=timeout_s + self.timeout_s
        )
        return _decode_object(name, document) if status == 200 else None

    async def list_hosts(self):
        """Return the live and leaving hosts; the list lags behind the actual state.

        :rtype: list[HostEntry]
        :raises sequoiagap.base.PlatformError: if the platform does not answer.
        """
        _, document = await self._call("GET", "/hosts")
        try:
            return [HostEntry(**host) for host in document["hosts"]]
        except (TypeError, KeyError) as error:
            raise base.PlatformError(
                f"host list is malformed ({error})", _PLATFORM_REMEDY
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
                    raise _no_answer_error(method, f"status {response.status}")
                if response.status == 204:
                    return 204, {}
                return response.status, await response.json()
        except aiohttp.ClientConnectorError as error:
            raise base.PlatformError(
                f"platform can't be reached ({error})", _PLATFORM_REMEDY
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            self._sessions.renew(session)
            raise _no_answer_error(method, repr(error)) from error
        except ValueError as error:
            raise _no_answer_error(method, repr(error)) from error


def _decode_object(name, document):
    return StoredObject(name, document["version"], document["value"])


def _no_answer_error(method, reason):
    return base.PlatformError(
        f"platform gave no valid answer ({reason})",
        _PLATFORM_REMEDY,
        effect_unknown=method != "GET",
    )
