"""Choice of the agents that an entry keeps links to."""

import functools
import itertools

import xxhash

from sequoiagap import members

COVER = 3
MAX_ELECTORS = 64
MAX_LINKS = 127
PER_TARGET = 4
FAR_SHARE = 0.25
FLOOR_SHARE = 0.5


class LinkChooser:
    """Chooses agents by rendezvous hashing over entry and agent.

    Each agent ranks the entries of its failure domain. An entry prefers the
    agents that rank it highest, so that all agents are linked by about as many
    entries and each by the first few of its own order. Agents of other failure
    domains are taken by the weight of the pair alone.

    :param str node_id: id of the entry.
    :param str failure_domain: failure domain of the entry.
    :param int max_links: most agents chosen.
    :param int cover: entries of its own order that link an agent in any case.
    :param int per_target: agents that each model or service keeps.
    :param float far_share: part of the links to other failure domains, 0 to 1.

    :ivar dict host_by_id_: agents that were learnt.
    :ivar dict rank_by_id_: place of the entry in the order of an agent, from 0;
        agents that don't rank this entry are missing.
    :ivar list near_: ids of agents of the own failure domain, preferred first.
    :ivar list far_: ids of the others, preferred first.

    >>> from sequoiagap import platform
    >>> hosts = [platform.HostEntry(f"a{i}", "agent", "::1", 1, "n") for i in range(9)]
    >>> chooser = LinkChooser("e1", "n", max_links=2)
    >>> chooser = chooser.fit({host.host_id: host for host in hosts}, {"e1": "n"})
    >>> first = chooser.choose()
    >>> len(first), first[1] in chooser.choose(lost={first[0]})
    (2, True)
    """

    def __init__(
        self,
        node_id,
        failure_domain,
        max_links=MAX_LINKS,
        cover=COVER,
        per_target=PER_TARGET,
        far_share=FAR_SHARE,
    ):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.max_links = max_links
        self.cover = cover
        self.per_target = per_target
        self.far_share = far_share
        self.host_by_id_ = {}
        self.rank_by_id_ = {}
        self.near_ = []
        self.far_ = []
        self._targets = {}
        self._ranked_by_id = {}

    @property
    def is_limited_(self):
        """Whether there are more agents than links."""
        return len(self.host_by_id_) > self.max_links

    def fit(self, host_by_id, domain_by_entry):
        """Learn the agents and the entries.

        :param dict host_by_id: the agents.
        :type host_by_id: dict[str, sequoiagap.platform.HostEntry]
        :param dict domain_by_entry: failure domain of each known entry.
        :returns: this chooser.
        :rtype: LinkChooser
        """
        self.host_by_id_ = dict(host_by_id)
        self._rank(dict(domain_by_entry) | {self.node_id: self.failure_domain})
        self.near_, self.far_ = [], []
        for agent_id, host in self.host_by_id_.items():
            is_near = host.failure_domain == self.failure_domain
            (self.near_ if is_near else self.far_).append(agent_id)
        own = _seed(self.node_id)
        weights = {agent_id: _weight(agent_id, own) for agent_id in self.host_by_id_}
        last = len(domain_by_entry) + 1
        ranks = self.rank_by_id_
        self.near_.sort(key=lambda i: (ranks.get(i, last), -weights[i]))
        self.far_.sort(key=weights.__getitem__, reverse=True)
        self._index_targets()
        return self

    def choose(self, lost=frozenset(), resting=frozenset()):
        """Return the ids of the agents to keep links to, at most ``max_links``.

        :param lost: agents that can't be used; others take their places.
        :type lost: collections.abc.Container[str]
        :param resting: agents that get no work now but will again. Those that
            rank this entry first keep their links, so that they are not alone.
        :type resting: collections.abc.Container[str]
        :rtype: list[str]
        """
        if len(self.host_by_id_) <= self.max_links:
            return [i for i in self.host_by_id_ if i not in lost]
        near = [i for i in self.near_ if i not in lost]
        far = [i for i in self.far_ if i not in lost]
        working_near = [i for i in near if i not in resting]
        working_far = [i for i in far if i not in resting]
        chosen = {}
        self._take_floors(chosen, lost, resting)
        self._take(chosen, self._covered(near + far), self.max_links)
        far_count = sum(i in chosen for i in far)
        wanted_far = int(self.max_links * self.far_share) - far_count
        room = min(len(chosen) + max(wanted_far, 0), self.max_links)
        self._take(chosen, working_far, room)
        for ids in (working_near, working_far, near, far):
            self._take(chosen, ids, self.max_links)
        return list(chosen)

    def serving(self, target):
        """Yield the agents that serve a model or service, preferred first.

        Near and far ones take turns, as a whole failure domain may be lost.

        :param str target: the model or service.
        :rtype: collections.abc.Iterator[str]
        """
        for pair in itertools.zip_longest(*self._targets.get(target, ())):
            yield from (agent_id for agent_id in pair if agent_id is not None)

    def _take(self, chosen, ids, room):
        for agent_id in ids:
            if len(chosen) >= room:
                return
            chosen[agent_id] = None

    def _take_floors(self, chosen, lost, resting):
        """Take a few agents of each target in turn, one of them from afar."""
        room = max(int(self.max_links * FLOOR_SHARE), 1)
        orders = []
        for near, far in self._targets.values():
            near = [i for i in near if i not in lost and i not in resting]
            far = [i for i in far if i not in lost and i not in resting]
            orders.append((near[:1] + far[:1] + near[1:] + far[1:])[: self.per_target])
        for turn in range(self.per_target):
            for order in orders:
                self._take(chosen, order[turn : turn + 1], room)

    def _covered(self, ids):
        ranked = [i for i in ids if self.rank_by_id_.get(i, self.cover) < self.cover]
        return sorted(ranked, key=self.rank_by_id_.__getitem__)

    def _index_targets(self):
        self._targets = {}
        for place, ids in enumerate((self.near_, self.far_)):
            for agent_id in ids:
                for target in self.host_by_id_[agent_id].serves:
                    self._targets.setdefault(target, ([], []))[place].append(agent_id)

    def _rank(self, domain_by_entry):
        """Rank anew only where the agent or the entries of its domain changed."""
        electors_by_domain = {}
        ranked = {}
        for agent_id, host in self.host_by_id_.items():
            domain = host.failure_domain
            if domain not in electors_by_domain:
                electors_by_domain[domain] = self._electors(domain, domain_by_entry)
            electors = electors_by_domain[domain]
            before = self._ranked_by_id.get(agent_id)
            if before is None or before[0] != electors:
                before = (electors, self._rank_in(agent_id, electors))
            ranked[agent_id] = before
        self._ranked_by_id = ranked
        ranks = ((agent_id, rank) for agent_id, (_, rank) in ranked.items())
        self.rank_by_id_ = {i: rank for i, rank in ranks if rank is not None}

    def _electors(self, domain, domain_by_entry):
        """Return the entries that an agent of a failure domain ranks."""
        own = sorted(e for e, d in domain_by_entry.items() if d == domain)
        if len(own) >= self.cover:
            return tuple(own)
        others = [e for e, d in domain_by_entry.items() if d != domain]
        return (*own, *members.choose(domain, others, MAX_ELECTORS))

    def _rank_in(self, agent_id, electors):
        if self.node_id not in electors:
            return None
        name = agent_id.encode()
        own = xxhash.xxh64_intdigest(name, _seed(self.node_id))
        return sum(xxhash.xxh64_intdigest(name, _seed(e)) > own for e in electors)


@functools.lru_cache(maxsize=4096)
def _seed(entry_id):
    return xxhash.xxh64_intdigest(entry_id.encode())


def _weight(agent_id, seed):
    return xxhash.xxh64_intdigest(agent_id.encode(), seed)
