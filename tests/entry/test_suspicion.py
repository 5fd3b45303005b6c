"""A suspicion reported by another entry is confirmed by an unanswered probe."""

import types
import unittest

from sequoiagap import members, platform, routing
from sequoiagap.entry import _link, _suspicion

SUSPECTED_AT = 100.0
RESPONSE_DELAY_S = 0.05
SILENCE_S = 4.0


class FakeConnection:
    """A connection with a given time of the last received message."""

    def __init__(self, heard_at):
        self.heard_at_ = heard_at
        self.probes = 0

    def probe(self):
        """Count a probe."""
        self.probes += 1


def make_link(connection):
    """Return an agent link that uses a connection."""
    host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "north")
    view = routing.EndpointView("e1", "north", frozenset())
    stub = types.SimpleNamespace(attach=lambda handlers: None)
    link = _link.AgentLink(members.Member(host), view, None, stub, stub)
    link.connection_ = connection
    return link


class SuspicionTest(unittest.TestCase):
    def setUp(self):
        self.connection = FakeConnection(SUSPECTED_AT - 1.0)
        self.link = make_link(self.connection)
        self.link.suspect(SUSPECTED_AT)

    def test_agent_is_not_suspect_before_the_probe_times_out(self):
        self.assertEqual(self.connection.probes, 1)
        self.assertFalse(self.link.is_suspect(SUSPECTED_AT + RESPONSE_DELAY_S))

    def test_silent_agent_is_suspect_until_it_is_heard(self):
        self.assertTrue(self.link.is_suspect(SUSPECTED_AT + SILENCE_S))
        self.connection.heard_at_ = SUSPECTED_AT + SILENCE_S
        self.assertFalse(self.link.is_suspect(SUSPECTED_AT + SILENCE_S))

    def test_repeated_suspicions_do_not_extend_the_timeout(self):
        now = SUSPECTED_AT
        while now < SUSPECTED_AT + SILENCE_S:
            now += _suspicion.PROBE_TIMEOUT_S / 2
            self.link.suspect(now)
        self.assertTrue(self.link.is_suspect(now))
