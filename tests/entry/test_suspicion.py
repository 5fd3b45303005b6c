"""A suspicion that another entry spread counts once a probe stays unanswered."""

import types
import unittest

from sequoiagap import members, platform, routing
from sequoiagap.entry import _link, _suspicion

ASKED_AT = 100.0
ANSWER_S = 0.05
STOPPED_S = 4.0


class Connection:
    """A connection that was last heard at a given time."""

    def __init__(self, heard_at):
        self.heard_at_ = heard_at
        self.probes = 0

    def probe(self):
        """Count a probe."""
        self.probes += 1


def make_link(connection):
    """Return a link to an agent over a connection."""
    host = platform.HostEntry("e1", "agent", "127.0.0.1", 1, "north")
    view = routing.EndpointView("e1", "north", frozenset())
    nothing = types.SimpleNamespace(attach=lambda handlers: None)
    link = _link.AgentLink(members.Member(host), view, None, nothing, nothing)
    link.connection_ = connection
    return link


class SuspicionTest(unittest.TestCase):
    def setUp(self):
        self.connection = Connection(ASKED_AT - 1.0)
        self.link = make_link(self.connection)
        self.link.suspect(ASKED_AT)

    def test_endpoint_stays_in_use_while_its_answer_is_under_way(self):
        self.assertEqual(self.connection.probes, 1)
        self.assertFalse(self.link.is_suspect(ASKED_AT + ANSWER_S))

    def test_silent_endpoint_gets_nothing_soon_and_again_once_heard(self):
        self.assertTrue(self.link.is_suspect(ASKED_AT + STOPPED_S))
        self.connection.heard_at_ = ASKED_AT + STOPPED_S
        self.assertFalse(self.link.is_suspect(ASKED_AT + STOPPED_S))

    def test_repeated_suspicions_do_not_put_it_off(self):
        at = ASKED_AT
        while at < ASKED_AT + STOPPED_S:
            at += _suspicion.PROBE_TIMEOUT_S / 2
            self.link.suspect(at)
        self.assertTrue(self.link.is_suspect(at))
