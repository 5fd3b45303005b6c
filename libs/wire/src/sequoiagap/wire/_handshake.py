"""Mutual authentication of two processes of one deployment.

The initiator, which opened the connection, sends first::

    initiator                     acceptor
        | Hello with a nonce          |
        |---------------------------->|
        |          Hello with a nonce |
        |<----------------------------|
        | Proof                       |
        |---------------------------->|
        |                       Proof |
        |<----------------------------|

A proof is an HMAC, keyed by the deployment's secret, over the proving side and
the payloads of both hellos, which include nonces, roles and node ids. The secret
itself is never sent. A replayed proof fails because nonces are fresh; a reflected
proof fails because it names the wrong side.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct

from sequoiagap import base
from sequoiagap.wire import _codec, _framing, _messages

HANDSHAKE_TIMEOUT_S = 1.5
MAX_HANDSHAKE_FRAME_BYTES = 2048
NONCE_BYTES = 32

_LENGTH = struct.Struct(">I")
_INITIATOR = b"sequoiagap initiator"
_ACCEPTOR = b"sequoiagap acceptor"


async def authenticate(reader, writer, own, is_initiator):
    """Authenticate to the peer and verify the peer's proof.

    :param asyncio.StreamReader reader: incoming stream.
    :param asyncio.StreamWriter writer: outgoing stream.
    :param Hello own: hello of this side, with the secret.
    :param bool is_initiator: whether this side opened the connection.
    :returns: authenticated hello of the peer.
    :rtype: Hello
    :raises sequoiagap.base.WireError: if the peer gives no valid proof in time.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            if is_initiator:
                return await _initiate(reader, writer, own)
            return await _accept(reader, writer, own)
    except (OSError, TimeoutError) as error:
        message = "did not finish the handshake in time"
        raise _abort(writer, message, "Reconnect") from error
    except base.WireError as error:
        raise _abort(writer, error.message, error.remedy) from error


def _abort(writer, message, remedy):
    """Abort a connection; return the error to raise, with the peer's address."""
    address = writer.get_extra_info("peername") or ("unknown", 0)
    writer.transport.abort()
    return base.WireError(f"{address[0]}:{address[1]}: {message}", remedy)


def make_proof(secret, side, first_hello, second_hello):
    """Return the proof of one side.

    :param str secret: shared secret of the deployment.
    :param bytes side: label of the proving side.
    :param bytes first_hello: hello payload of the initiator.
    :param bytes second_hello: hello payload of the acceptor.
    :rtype: bytes
    """
    parts = (side, first_hello, second_hello)
    transcript = b"".join(_LENGTH.pack(len(part)) + part for part in parts)
    return hmac.digest(secret.encode(), transcript, hashlib.sha256)


async def _initiate(reader, writer, own):
    sent = _send_hello(writer, own)
    received, peer = await _read_hello(reader, own)
    await _send(
        writer, _messages.Proof(_make_own_proof(own, _INITIATOR, sent, received))
    )
    await _check_proof(reader, peer, _make_own_proof(own, _ACCEPTOR, sent, received))
    return peer


async def _accept(reader, writer, own):
    received, peer = await _read_hello(reader, own)
    sent = _send_hello(writer, own)
    await _check_proof(reader, peer, _make_own_proof(own, _INITIATOR, received, sent))
    await _send(
        writer, _messages.Proof(_make_own_proof(own, _ACCEPTOR, received, sent))
    )
    return peer


def _make_own_proof(own, side, first_hello, second_hello):
    return make_proof(own.secret, side, first_hello, second_hello)


def _send_hello(writer, own):
    own.nonce = secrets.token_bytes(NONCE_BYTES)
    payload = _codec.encode(own)
    _framing.write_frame(writer, payload, MAX_HANDSHAKE_FRAME_BYTES)
    return payload


async def _send(writer, item):
    _framing.write_frame(writer, _codec.encode(item), MAX_HANDSHAKE_FRAME_BYTES)
    await writer.drain()


async def _read(reader, expected):
    payload = await _framing.read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    if payload is None:
        raise base.WireError(
            "peer closed during the handshake",
            "Check that both processes have the same secret file",
        )
    item = _codec.decode(payload)
    if not isinstance(item, expected):
        raise base.WireError(
            f"{type(item).__name__} came before {expected.__name__}",
            "Check that the peer speaks this protocol",
        )
    return payload, item


async def _read_hello(reader, own):
    payload, peer = await _read(reader, _messages.Hello)
    if peer.protocol != own.protocol:
        raise base.WireError(
            f"peer speaks protocol {peer.protocol}, not {own.protocol}",
            "Upgrade the older process",
        )
    if (peer.node_id, peer.incarnation) == (own.node_id, own.incarnation):
        raise base.WireError(
            "the connection came back to its sender",
            "Check the addresses in the settings",
        )
    if len(peer.nonce) != NONCE_BYTES:
        raise base.WireError(
            f"{peer.node_id} sent no fresh nonce",
            "Check that the peer speaks this protocol",
        )
    return payload, peer


async def _check_proof(reader, peer, expected):
    _, proof = await _read(reader, _messages.Proof)
    if not hmac.compare_digest(proof.digest, expected):
        raise base.WireError(
            f"{peer.node_id} gave a wrong proof of the deployment secret",
            "Give both processes the same secret file",
        )
