"""Forwarded headers, without those of a single connection."""

import multidict

# Headers that apply to a single connection or are set again when forwarded.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "expect",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
    }
)


def end_to_end(headers):
    """Return headers without those that apply to a single connection.

    :param headers: multi-value map of headers.
    :rtype: multidict.CIMultiDict
    """
    named = headers.get("Connection", "").lower().split(",")
    left_out = CONNECTION_HEADERS.union(name.strip() for name in named)
    kept = [(k, v) for k, v in headers.items() if k.lower() not in left_out]
    return multidict.CIMultiDict(kept)
