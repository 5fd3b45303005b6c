"""Selection of the agents to link, updated as agents and entries change or fail."""

import asyncio
import copy

DOWN_GRACE_S = 1.0
AVOID_DURATION_S = 10.0


class LinkSelection:
    """Updates the choice of agents after changes of membership, settings and links.

    :param LinkChooser chooser: chooses the agents to link.
    :param sequoiagap.members.Directory directory: the known agents.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param find_entries: function that returns the failure domain of each known
        entry by its id.

    :ivar frozenset chosen_: ids of the agents to link.
    :ivar frozenset reconnecting_: ids of agents that would be chosen but are down;
        their links keep trying to connect.
    """

    def __init__(self, chooser, directory, holder, find_entries):
        self.chooser = chooser
        self.directory = directory
        self.holder = holder
        self.find_entries = find_entries
        self.chosen_ = frozenset()
        self.reconnecting_ = frozenset()
        self._fitted_entries = None
        self._agents_changed = True
        self._last_inputs = None
        self._leaving = frozenset()
        self._avoid_until_by_id = {}

    @property
    def is_limited(self):
        """Whether there are more agents than allowed links."""
        return len(self.directory.by_id) > self.chooser.max_links

    async def fit_chooser(self):
        """Fit the chooser to the known agents and entries if they have changed."""
        if not self.is_limited:
            return
        entries = self.find_entries()
        if not self._agents_changed and entries == self._fitted_entries:
            return
        self._agents_changed = False
        hosts = {i: member.host for i, member in self.directory.by_id.items()}
        # A copy is fitted in a thread: ranking thousands of agents takes tens of
        # milliseconds, which would block the event loop.
        chooser = copy.copy(self.chooser)
        self.chooser = await asyncio.to_thread(chooser.fit, hosts, entries)
        self._fitted_entries = entries

    def mark_agents_changed(self):
        """Request a new fit, as agents were added, removed or moved."""
        self._agents_changed = True

    def update(self, link_by_id, now):
        """Update the choice if any of its inputs has changed.

        :param dict link_by_id: existing links, by endpoint id.
        :param float now: monotonic time in seconds.
        """
        if not self.is_limited:
            self.chosen_ = frozenset(self.directory.by_id)
            self.reconnecting_ = frozenset()
            return
        if self._fitted_entries is None:
            return
        lost = self._find_down(link_by_id, now)
        inactive = self._find_inactive(link_by_id)
        inputs = (self.chooser, lost, inactive, frozenset(self._avoid_until_by_id))
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        preferred = frozenset(self.chooser.choose(inactive=inactive))
        self._avoid(lost - preferred, now)
        avoided = lost | self._avoid_until_by_id.keys()
        self.chosen_ = frozenset(self.chooser.choose(avoided, inactive))
        self.reconnecting_ = preferred & lost

    def additional_agents(self, target):
        """Yield ids of agents for a link on demand, preferred first.

        :param str target: name of the model or service.
        :rtype: collections.abc.Iterator[str]
        """
        for endpoint_id in self.chooser.agents_serving(target):
            member = self.directory.by_id.get(endpoint_id)
            if member is None or member.leaving:
                continue
            if endpoint_id in self._avoid_until_by_id:
                continue
            domain = member.host.failure_domain
            if not self.holder.blocking_setting(domain, endpoint_id):
                yield endpoint_id

    def avoid(self, endpoint_id, now):
        """Exclude an agent from the choice for ``AVOID_DURATION_S``.

        :param str endpoint_id: id of the agent.
        :param float now: monotonic time in seconds.
        """
        self._avoid([endpoint_id], now)

    def stop_avoiding(self, endpoint_id):
        """Allow an agent to be chosen again, as it is new or has moved.

        :param str endpoint_id: id of the agent.
        """
        self._avoid_until_by_id.pop(endpoint_id, None)

    def _avoid(self, ids, now):
        for endpoint_id in ids:
            self._avoid_until_by_id[endpoint_id] = now + AVOID_DURATION_S

    def _find_down(self, link_by_id, now):
        self._avoid_until_by_id = {
            i: until for i, until in self._avoid_until_by_id.items() if until > now
        }
        return frozenset(
            i for i, k in link_by_id.items() if k.is_down(now, DOWN_GRACE_S)
        )

    def _find_inactive(self, link_by_id):
        """Return ids of agents that are drained, leaving or in a drained domain.

        For agents without a link, leaving is noticed only once they are chosen.
        """
        member_by_id = self.directory.by_id
        observed = self._leaving.union(link_by_id, self.chosen_)
        self._leaving = frozenset(
            i for i in observed if i in member_by_id and member_by_id[i].leaving
        )
        domains = {
            *self.holder.current_.document.failure_domains,
            *self.holder.local_by_domain,
        }
        drained_domains = {d for d in domains if self.holder.blocking_setting(d, "")}
        drained = {
            endpoint_id
            for endpoint_id, endpoint in self.holder.current_.document.endpoints.items()
            if endpoint.drain
        }
        if not drained_domains:
            return self._leaving | drained
        in_drained_domains = (
            i
            for i, m in member_by_id.items()
            if m.host.failure_domain in drained_domains
        )
        return self._leaving.union(drained, in_drained_domains)
