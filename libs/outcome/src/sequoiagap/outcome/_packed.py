"""Claims that were set aside, held in little memory."""

import struct

_HEAD = struct.Struct(">HdBB")
_HEX_DIGITS = 32
_STATES = ("held", "done", "released")


class PackedClaims:
    """Claims by identity, a few bytes each; never changed once made.

    An agent holds those of each shard that it writes, and its memory is what
    bounds them.

    :param dict rows: packed claims by packed identity.
    :param list agents: agent and incarnation by number; grows only.
    :param make_claim: class of the claims.
    """

    def __init__(self, make_claim, rows=None, agents=None):
        self.make_claim = make_claim
        self._rows = rows or {}
        self._agents = [] if agents is None else agents

    def __len__(self):
        return len(self._rows)

    def __contains__(self, identity):
        return _pack_text(identity) in self._rows

    def get(self, identity):
        """Return the claim of a key, or ``None``.

        :param str identity: the key's identity.
        :rtype: Claim | None
        """
        row = self._rows.get(_pack_text(identity))
        return None if row is None else self._unpack(identity, row)

    def joined(self, claims, now):
        """Return these claims, without expired ones, and others.

        :param claims: claims to add; the later of one key counts.
        :param float now: wall-clock time in seconds.
        :rtype: PackedClaims
        """
        rows = self.unexpired(now)._rows
        for claim in claims:
            rows[_pack_text(claim.identity)] = self._pack(claim)
        return PackedClaims(self.make_claim, rows, self._agents)

    def unexpired(self, now):
        """Return the claims that have not expired.

        :param float now: wall-clock time in seconds.
        :rtype: PackedClaims
        """
        rows = {
            k: row for k, row in self._rows.items() if _HEAD.unpack_from(row)[1] > now
        }
        return PackedClaims(self.make_claim, rows, self._agents)

    def _pack(self, claim):
        agent = (claim.agent, claim.incarnation)
        if agent not in self._agents:
            self._agents.append(agent)
        nonce = claim.nonce.encode()
        head = _HEAD.pack(
            self._agents.index(agent),
            claim.expires_at,
            _STATES.index(claim.state),
            len(nonce),
        )
        return head + nonce + _pack_text(claim.digest)

    def _unpack(self, identity, row):
        number, expires_at, state, size = _HEAD.unpack_from(row)
        agent, incarnation = self._agents[number]
        end = _HEAD.size + size
        return self.make_claim(
            identity=identity,
            agent=agent,
            incarnation=incarnation,
            nonce=row[_HEAD.size : end].decode(),
            digest=_unpack_text(row[end:]),
            expires_at=expires_at,
            state=_STATES[state],
        )


def _pack_text(text):
    """Return a digest as half its length, any other text as it is."""
    try:
        data = bytes.fromhex(text)
    except ValueError:
        data = b""
    if len(text) == _HEX_DIGITS and data.hex() == text:
        return b"x" + data
    return b"t" + text.encode()


def _unpack_text(data):
    return data[1:].hex() if data[:1] == b"x" else data[1:].decode()
