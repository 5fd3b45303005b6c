"""What a choice may depend on besides the candidates."""

import dataclasses

import xxhash

PREFIX_BYTES = 1024
MIN_PREFIX_BYTES = 256
_PROMPT_FIELDS = (b'"messages"', b'"prompt"')


@dataclasses.dataclass(frozen=True)
class RouteContext:
    """Where a request came in and what its prompt begins with.

    :param float now: monotonic time in seconds.
    :param str failure_domain: failure domain of the entry.
    :param int prefix: digest of the start of the prompt; 0 for none.
    :param int prompt_bytes: length of the prompt in bytes.
    """

    now: float
    failure_domain: str = ""
    prefix: int = 0
    prompt_bytes: int = 0


def make_context(now, failure_domain, target, body):
    """Return the context of a request.

    :param float now: monotonic time in seconds.
    :param str failure_domain: failure domain of the entry.
    :param str target: model or service; another model is another prefix.
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
    """Return the body from its prompt on; no JSON is parsed."""
    for field in _PROMPT_FIELDS:
        begin = body.find(field)
        if begin >= 0:
            return body[begin:]
    return b""
