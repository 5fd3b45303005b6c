"""Compact in-memory representation of sealed claims."""

import struct

_HEADER = struct.Struct(">HdBB")
_HEX_DIGITS = 32
_STATES = ("held", "done", "released")


class PackedClaims:
    """Immutable mapping from identity to claim, packed into bytes.

    An agent holds the sealed claims of each shard that it writes; packing bounds the
    memory that they take.

    :param make_claim: class of the claims.
    :param dict rows: packed claims by packed identity.
    :param list agents: pairs of agent and incarnation, which rows refer to by index;
        entries are only appended.
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
        """Return the claim of a key, or ``None`` if there is none.

        :param str identity: id of the scoped key.
        :rtype: Claim | None
        """
        row = self._rows.get(_pack_text(identity))
        return None if row is None else self._unpack(identity, row)

    def merged_with(self, claims, now):
        """Return the unexpired claims together with further claims.

        :param claims: claims to add; a later claim of the same key replaces an
            earlier one.
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
            k: row for k, row in self._rows.items() if _HEADER.unpack_from(row)[1] > now
        }
        return PackedClaims(self.make_claim, rows, self._agents)

    def _pack(self, claim):
        agent = (claim.agent, claim.incarnation)
        if agent not in self._agents:
            self._agents.append(agent)
        nonce = claim.nonce.encode()
        header = _HEADER.pack(
            self._agents.index(agent),
            claim.expires_at,
            _STATES.index(claim.state),
            len(nonce),
        )
        return header + nonce + _pack_text(claim.digest)

    def _unpack(self, identity, row):
        number, expires_at, state, size = _HEADER.unpack_from(row)
        agent, incarnation = self._agents[number]
        end = _HEADER.size + size
        return self.make_claim(
            identity=identity,
            agent=agent,
            incarnation=incarnation,
            nonce=row[_HEADER.size : end].decode(),
            digest=_unpack_text(row[end:]),
            expires_at=expires_at,
            state=_STATES[state],
        )


def _pack_text(text):
    """Return a hexadecimal digest as bytes of half its length, other text as UTF-8."""
    try:
        data = bytes.fromhex(text)
    except ValueError:
        data = b""
    if len(text) == _HEX_DIGITS and data.hex() == text:
        return b"x" + data
    return b"t" + text.encode()


def _unpack_text(data):
    return data[1:].hex() if data[:1] == b"x" else data[1:].decode()
