"""Headers that are passed on, without those of one connection."""

import multidict

# Headers that concern one connection only, or that are set anew here.
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
    """Return headers without those that concern one connection only.

    :param headers: multi-value map of headers.
    :rtype: multidict.CIMultiDict
    """
    named = headers.get("Connection", "").lower().split(",")
    left_out = CONNECTION_HEADERS.union(name.strip() for name in named)
    kept = [(k, v) for k, v in headers.items() if k.lower() not in left_out]
    return multidict.CIMultiDict(kept)
