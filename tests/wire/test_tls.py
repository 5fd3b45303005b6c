"""TLS between processes: both sides need a certificate of the deployment's CA."""

import asyncio
import tempfile
import unittest

from sequoiagap import base, wire
from tests import support, support_tls


def hello(node_id, tls):
    """Return a hello of a node."""
    return wire.Hello(node_id, "agent", "inc", secret="the-deployment-secret", tls=tls)


class TlsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        support.silence_logs()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.authority = support_tls.Authority(folder.name)
        self.stranger = support_tls.Authority(folder.name, "other")
        self.own = base.TlsContexts(**self.authority.issue("server"))
        self.server = await wire.listen(self._serve, "127.0.0.1", 0, self.own)
        self.addCleanup(self.server.close)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, hello("server", self.own))
            await connection.run(lambda item: connection.send(item))
        except base.WireError:
            return

    async def connect(self, tls):
        """Connect, exchange one message, and return the peer's certificate."""
        connection = await wire.connect("127.0.0.1", self.port, hello("client", tls))
        try:
            await connection.send(wire.Cancel("att-1", 0))
            async with asyncio.timeout(support.FEW_SECONDS_S):
                payload = await wire.read_frame(connection.reader)
            self.assertEqual(wire.decode(payload), wire.Cancel("att-1", 0))
            return connection.writer.get_extra_info("ssl_object").getpeercert(True)
        finally:
            connection.close()

    async def test_own_certificate_is_accepted(self):
        tls = base.TlsContexts(**self.authority.issue("client"))
        self.assertTrue(await self.connect(tls))

    async def test_untrusted_peers_are_rejected(self):
        known = self.authority.issue("client")
        unknown = self.stranger.issue("stranger")
        cases = {
            "plain connection": None,
            "certificate of another CA": {**unknown, "ca_file": known["ca_file"]},
            "server not of its CA": {**known, "ca_file": unknown["ca_file"]},
        }
        for name, files in cases.items():
            with self.subTest(name), self.assertRaises(base.WireError):
                await self.connect(base.TlsContexts(**files) if files else None)

    async def test_renewed_files_apply_to_new_connections(self):
        tls = base.TlsContexts(**self.authority.issue("client"))
        before = await self.connect(tls)
        self.authority.issue("server")
        self.assertEqual(await self.connect(tls), before)
        self.own.load()
        self.assertNotEqual(await self.connect(tls), before)

    async def test_key_of_another_certificate_raises_config_error(self):
        files = self.authority.issue("a")
        files["key_file"] = self.authority.issue("b")["key_file"]
        with self.assertRaisesRegex(base.ConfigError, "its own key"):
            base.TlsContexts(**files)
