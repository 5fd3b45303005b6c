"""Which agents are to be linked now, as agents and entries come, go and fail."""

import asyncio
import copy

DOWN_S = 1.0
AVOID_S = 10.0


class LinkSelection:
    """Follows the directory, the configuration and the links' failures.

    :param LinkChooser chooser: chooses the agents to link.
    :param sequoiagap.members.Directory directory: agents as listed and seen.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param find_entries: function that returns the failure domain of each known
        entry by its id.

    :ivar frozenset chosen_: agents to be linked.
    :ivar frozenset awaited_: agents that are down and would be chosen otherwise;
        their links keep trying to connect.
    """

    def __init__(self, chooser, directory, holder, find_entries):
        self.chooser = chooser
        self.directory = directory
        self.holder = holder
        self.find_entries = find_entries
        self.chosen_ = frozenset()
        self.awaited_ = frozenset()
        self._learnt_entries = None
        self._agents_changed = True
        self._seen = None
        self._leaving = frozenset()
        self._avoid_until_by_id = {}

    @property
    def is_limited(self):
        """Whether there are more agents than may be linked."""
        return len(self.directory.by_id) > self.chooser.max_links

    async def learn(self):
        """Teach the chooser the agents and entries, if they have changed."""
        if not self.is_limited:
            return
        entries = self.find_entries()
        if not self._agents_changed and entries == self._learnt_entries:
            return
        self._agents_changed = False
        hosts = {i: member.host for i, member in self.directory.by_id.items()}
        # A copy learns in a thread: to rank thousands takes tens of milliseconds.
        chooser = copy.copy(self.chooser)
        self.chooser = await asyncio.to_thread(chooser.fit, hosts, entries)
        self._learnt_entries = entries

    def note_agents_changed(self):
        """Note that agents came, went or moved."""
        self._agents_changed = True

    def update(self, link_by_id, now):
        """Choose anew if something has changed.

        :param dict link_by_id: the links there are.
        :param float now: monotonic time in seconds.
        """
        if not self.is_limited:
            self.chosen_ = frozenset(self.directory.by_id)
            self.awaited_ = frozenset()
            return
        if self._learnt_entries is None:
            return
        lost = self._find_lost(link_by_id, now)
        resting = self._find_resting(link_by_id)
        seen = (self.chooser, lost, resting, frozenset(self._avoid_until_by_id))
        if seen == self._seen:
            return
        self._seen = seen
        preferred = frozenset(self.chooser.choose(resting=resting))
        self._avoid(lost - preferred, now)
        avoided = lost | self._avoid_until_by_id.keys()
        self.chosen_ = frozenset(self.chooser.choose(avoided, resting))
        self.awaited_ = preferred & lost

    def further(self, target):
        """Yield agents of a target that could be linked besides, preferred first.

        :param str target: the model or service.
        :rtype: collections.abc.Iterator[str]
        """
        for endpoint_id in self.chooser.serving(target):
            member = self.directory.by_id.get(endpoint_id)
            if member is None or member.leaving:
                continue
            if endpoint_id in self._avoid_until_by_id:
                continue
            domain = member.host.failure_domain
            if not self.holder.blocking_setting(domain, endpoint_id):
                yield endpoint_id

    def avoid(self, endpoint_id, now):
        """Choose an agent no more for a while, as it could not be reached.

        :param str endpoint_id: the agent.
        :param float now: monotonic time in seconds.
        """
        self._avoid([endpoint_id], now)

    def welcome(self, endpoint_id):
        """Avoid an agent no longer, as it is new or has moved.

        :param str endpoint_id: the agent.
        """
        self._avoid_until_by_id.pop(endpoint_id, None)

    def _avoid(self, ids, now):
        for endpoint_id in ids:
            self._avoid_until_by_id[endpoint_id] = now + AVOID_S

    def _find_lost(self, link_by_id, now):
        self._avoid_until_by_id = {
            i: until for i, until in self._avoid_until_by_id.items() if until > now
        }
        return frozenset(i for i, k in link_by_id.items() if k.is_down(now, DOWN_S))

    def _find_resting(self, link_by_id):
        """Return agents that are out, drained or leaving.

        Agents without a link that leave are found once they are chosen.
        """
        known = self.directory.by_id
        seen = self._leaving.union(link_by_id, self.chosen_)
        self._leaving = frozenset(i for i in seen if i in known and known[i].leaving)
        domains = {
            *self.holder.current_.document.failure_domains,
            *self.holder.local_by_domain,
        }
        out = {d for d in domains if self.holder.blocking_setting(d, "")}
        drained = {
            endpoint_id
            for endpoint_id, order in self.holder.current_.document.endpoints.items()
            if order.drain
        }
        if not out:
            return self._leaving | drained
        outside = (i for i, m in known.items() if m.host.failure_domain in out)
        return self._leaving.union(drained, outside)
