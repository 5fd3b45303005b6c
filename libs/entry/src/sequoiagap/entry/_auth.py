"""Authentication of callers and operators by bearer key."""

import hashlib

from sequoiagap import base

_BEARER_PREFIX = "Bearer "


class KeyRing:
    """Maps the digest of a key to its client account or operator.

    :ivar dict account_by_digest: name of the client account by the SHA-256 of its
        key.
    :ivar dict operator_by_digest: name of the operator by the SHA-256 of its key.
    """

    def __init__(self):
        self.account_by_digest = {}
        self.operator_by_digest = {}

    def replace(self, account_by_digest, operator_by_digest):
        """Replace all keys by those of a keys file.

        :param dict account_by_digest: name of the client account by the SHA-256 of
            its key.
        :param dict operator_by_digest: name of the operator by the SHA-256 of its
            key.
        """
        self.account_by_digest = account_by_digest
        self.operator_by_digest = operator_by_digest

    def find_account(self, headers):
        """Return the client account that a request's key belongs to, or ``None``.

        :param headers: HTTP headers of the request.
        :rtype: str | None
        """
        return self.account_by_digest.get(_key_digest(headers))

    def find_operator(self, headers):
        """Return the operator that a request's key belongs to, or ``None``.

        :param headers: HTTP headers of the request.
        :rtype: str | None
        """
        return self.operator_by_digest.get(_key_digest(headers))


def unauthenticated(config_version):
    """Return the refusal of a caller without a valid key.

    :param int config_version: configuration version in force.
    :rtype: sequoiagap.base.Refusal
    """
    return base.Refusal(
        base.RefusalKind.UNAUTHENTICATED,
        "the key is missing or unknown",
        "Send 'Authorization: Bearer KEY' with a valid key",
        config_version=config_version,
    )


def _key_digest(headers):
    value = headers.get("Authorization", "")
    if not value.startswith(_BEARER_PREFIX):
        return ""
    return hashlib.sha256(value[len(_BEARER_PREFIX) :].encode()).hexdigest()
