"""Properties of a request that routing policies use."""

import dataclasses

import xxhash

PREFIX_BYTES = 1024
MIN_PREFIX_BYTES = 256
_PROMPT_FIELDS = (b'"messages"', b'"prompt"')


@dataclasses.dataclass(frozen=True)
class RouteContext:
    """Time, origin and prompt prefix of a request.

    :param float now: monotonic time in seconds.
    :param str failure_domain: failure domain of the entry that received the request.
    :param int prefix: hash of the start of the prompt; 0 for none.
    :param int prompt_bytes: length of the prompt in bytes.
    """

    now: float
    failure_domain: str = ""
    prefix: int = 0
    prompt_bytes: int = 0


def make_context(now, failure_domain, target, body):
    """Return the routing context of a request.

    :param float now: monotonic time in seconds.
    :param str failure_domain: failure domain of the entry that received the request.
    :param str target: model or service; part of the prefix, as caches are per model.
    :param bytes body: HTTP body of the request.
    :rtype: RouteContext

    >>> body = b'{"messages": [{"content": "' + b"a" * 2000 + b'"}]}'
    >>> one = make_context(0.0, "north", "desk-model", body)
    >>> two = make_context(9.0, "south", "desk-model", body + b" ")
    >>> one.prefix == two.prefix != 0
    True
    """
    prompt = _find_prompt(body)
    if len(prompt) < MIN_PREFIX_BYTES:
        return RouteContext(now, failure_domain)
    start = target.encode() + b"\n" + prompt[:PREFIX_BYTES]
    return RouteContext(now, failure_domain, xxhash.xxh64_intdigest(start), len(prompt))


def _find_prompt(body):
    """Return the rest of the body from the prompt field on, without parsing JSON."""
    for field in _PROMPT_FIELDS:
        begin = body.find(field)
        if begin >= 0:
            return body[begin:]
    return b""
