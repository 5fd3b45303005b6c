"""Requests that reach servers in a time for which they want none.

Usage: ``python -m benchmarks.endpoint_pauses PAUSE_S SECONDS``. A real gateway process
stands before three servers, of which one, two and all turn requests away and name
``PAUSE_S``; each is played for ``SECONDS``.
"""

import sys

from tests.platform_site import test_gateway_process


class EndpointPauses(test_gateway_process.GatewayProcessTest):
    """Plays each number of servers and prints what arrived."""

    async def runTest(self):  # noqa: D102, N802 - set by unittest
        pause_s, seconds = (float(text) for text in sys.argv[1:3])
        for count in range(1, len(self.servers) + 1):
            for server in self.servers:
                server.arrived_at.clear()
                server.refused_at.clear()
            for server in self.servers[:count]:
                server.pause_s = pause_s
            answers = await self.call_for(seconds)
            refused = sum(status == 503 for status, _ in answers)
            most = [server.most_in_a_pause() for server in self.servers[:count]]
            arrived = [len(server.arrived_at) for server in self.servers]
            print(f"{count} servers, {pause_s:g} s: at most {max(most)} in a pause,")
            print(
                f"  {arrived} arrived, {refused} of {len(answers)} refused", flush=True
            )


if __name__ == "__main__":
    sys.exit(not EndpointPauses().run().wasSuccessful())
