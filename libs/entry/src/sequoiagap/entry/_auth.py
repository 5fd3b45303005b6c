"""Keys of callers and operators."""

import hashlib

from sequoiagap import base

_BEARER = "Bearer "


class KeyRing:
    """Client accounts and operators by the digest of their key.

    :ivar dict account_by_digest: name of the client account by SHA-256.
    :ivar dict operator_by_digest: name of the operator by SHA-256.
    """

    def __init__(self):
        self.account_by_digest = {}
        self.operator_by_digest = {}

    def replace(self, account_by_digest, operator_by_digest):
        """Take the keys of a keys file in place of those so far.

        :param dict account_by_digest: name of the client account by SHA-256.
        :param dict operator_by_digest: name of the operator by SHA-256.
        """
        self.account_by_digest = account_by_digest
        self.operator_by_digest = operator_by_digest

    def find_account(self, headers):
        """Return the client account of a request, or ``None``.

        :param headers: HTTP headers of the request.
        :rtype: str | None
        """
        return self.account_by_digest.get(_digest(headers))

    def find_operator(self, headers):
        """Return the operator of a request, or ``None``.

        :param headers: HTTP headers of the request.
        :rtype: str | None
        """
        return self.operator_by_digest.get(_digest(headers))


def unauthenticated(config_version):
    """Return the refusal of a caller without a valid key.

    :param int config_version: version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.UNAUTHENTICATED,
        "the key is missing or unknown",
        "Send 'Authorization: Bearer KEY' with a valid key",
        config_version=config_version,
    )


def _digest(headers):
    value = headers.get("Authorization", "")
    if not value.startswith(_BEARER):
        return ""
    return hashlib.sha256(value[len(_BEARER) :].encode()).hexdigest()
