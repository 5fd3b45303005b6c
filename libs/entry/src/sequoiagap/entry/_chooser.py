"""Choice of the agents that an entry keeps links to, by rendezvous hashing."""

import functools
import itertools

import xxhash

from sequoiagap import members

MIN_ENTRIES_PER_AGENT = 3
MAX_RANKED_ENTRIES = 64
MAX_LINKS = 127
MIN_AGENTS_PER_TARGET = 4
REMOTE_DOMAIN_SHARE = 0.25
RESERVED_SHARE = 0.5


class LinkChooser:
    """Chooses agents by rendezvous hashing over pairs of entry and agent.

    For each agent the entries of its failure domain are ranked by hash. An entry
    prefers the agents in whose ranking it comes first, so that each agent is linked
    by about the same number of entries, among them the first few of its ranking.
    Agents of other failure domains are chosen by the hash of the pair alone.

    :param str node_id: id of the entry.
    :param str failure_domain: failure domain of the entry.
    :param int max_links: highest number of agents chosen.
    :param int min_entries: number of entries at the top of an agent's ranking that
        link it in any case.
    :param int min_per_target: minimum number of agents per model or service.
    :param float remote_share: share of the links that lead to other failure domains,
        0 to 1.

    :ivar dict host_by_id_: agents to choose from, by id.
    :ivar dict rank_by_id_: position of the entry in the ranking of an agent, from 0;
        agents whose ranking lacks this entry are left out.
    :ivar list local_ids_: ids of agents of the own failure domain, preferred first.
    :ivar list remote_ids_: ids of the other agents, preferred first.

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
        min_entries=MIN_ENTRIES_PER_AGENT,
        min_per_target=MIN_AGENTS_PER_TARGET,
        remote_share=REMOTE_DOMAIN_SHARE,
    ):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.max_links = max_links
        self.min_entries = min_entries
        self.min_per_target = min_per_target
        self.remote_share = remote_share
        self.host_by_id_ = {}
        self.rank_by_id_ = {}
        self.local_ids_ = []
        self.remote_ids_ = []
        self._targets = {}
        self._ranked_by_id = {}

    @property
    def is_limited_(self):
        """Whether there are more agents than allowed links."""
        return len(self.host_by_id_) > self.max_links

    def fit(self, host_by_id, domain_by_entry):
        """Compute the order of preference from the known agents and entries.

        :param dict host_by_id: the agents, by id.
        :type host_by_id: dict[str, sequoiagap.platform.HostEntry]
        :param dict domain_by_entry: failure domain of each known entry.
        :returns: this chooser.
        :rtype: LinkChooser
        """
        self.host_by_id_ = dict(host_by_id)
        self._rank(dict(domain_by_entry) | {self.node_id: self.failure_domain})
        self.local_ids_, self.remote_ids_ = [], []
        for agent_id, host in self.host_by_id_.items():
            is_local = host.failure_domain == self.failure_domain
            (self.local_ids_ if is_local else self.remote_ids_).append(agent_id)
        entry_hash = _entry_hash(self.node_id)
        weights = {
            agent_id: _pair_weight(agent_id, entry_hash)
            for agent_id in self.host_by_id_
        }
        last = len(domain_by_entry) + 1
        ranks = self.rank_by_id_
        self.local_ids_.sort(key=lambda i: (ranks.get(i, last), -weights[i]))
        self.remote_ids_.sort(key=weights.__getitem__, reverse=True)
        self._index_targets()
        return self

    def choose(self, lost=frozenset(), inactive=frozenset()):
        """Return the ids of the agents to keep links to, at most ``max_links``.

        :param lost: ids of unreachable agents, which are replaced by others.
        :type lost: collections.abc.Container[str]
        :param inactive: ids of agents that get no requests for now, such as drained
            ones. Those with this entry at the top of their ranking keep their links,
            so that they stay connected to some entries.
        :type inactive: collections.abc.Container[str]
        :rtype: list[str]
        """
        if len(self.host_by_id_) <= self.max_links:
            return [i for i in self.host_by_id_ if i not in lost]
        local_ids = [i for i in self.local_ids_ if i not in lost]
        remote_ids = [i for i in self.remote_ids_ if i not in lost]
        active_local = [i for i in local_ids if i not in inactive]
        active_remote = [i for i in remote_ids if i not in inactive]
        chosen = {}
        self._reserve_per_target(chosen, lost, inactive)
        self._add_up_to(
            chosen, self._ids_in_top_rank(local_ids + remote_ids), self.max_links
        )
        remote_count = sum(i in chosen for i in remote_ids)
        missing_remote = int(self.max_links * self.remote_share) - remote_count
        limit = min(len(chosen) + max(missing_remote, 0), self.max_links)
        self._add_up_to(chosen, active_remote, limit)
        for ids in (active_local, active_remote, local_ids, remote_ids):
            self._add_up_to(chosen, ids, self.max_links)
        return list(chosen)

    def agents_serving(self, target):
        """Yield the ids of agents that serve a model or service, preferred first.

        Agents of the own failure domain and of others alternate, as a whole failure
        domain may fail.

        :param str target: name of the model or service.
        :rtype: collections.abc.Iterator[str]
        """
        for pair in itertools.zip_longest(*self._targets.get(target, ())):
            yield from (agent_id for agent_id in pair if agent_id is not None)

    def _add_up_to(self, chosen, ids, limit):
        for agent_id in ids:
            if len(chosen) >= limit:
                return
            chosen[agent_id] = None

    def _reserve_per_target(self, chosen, lost, inactive):
        """Choose a few agents per target, one of them in another failure domain.

        Targets are served in turns, up to ``RESERVED_SHARE`` of the links.
        """
        limit = max(int(self.max_links * RESERVED_SHARE), 1)
        orders = []
        for local_ids, remote_ids in self._targets.values():
            local_ids = [i for i in local_ids if i not in lost and i not in inactive]
            remote_ids = [i for i in remote_ids if i not in lost and i not in inactive]
            orders.append(
                (local_ids[:1] + remote_ids[:1] + local_ids[1:] + remote_ids[1:])[
                    : self.min_per_target
                ]
            )
        for position in range(self.min_per_target):
            for order in orders:
                self._add_up_to(chosen, order[position : position + 1], limit)

    def _ids_in_top_rank(self, ids):
        ranked = [
            i
            for i in ids
            if self.rank_by_id_.get(i, self.min_entries) < self.min_entries
        ]
        return sorted(ranked, key=self.rank_by_id_.__getitem__)

    def _index_targets(self):
        self._targets = {}
        for index, ids in enumerate((self.local_ids_, self.remote_ids_)):
            for agent_id in ids:
                for target in self.host_by_id_[agent_id].serves:
                    self._targets.setdefault(target, ([], []))[index].append(agent_id)

    def _rank(self, domain_by_entry):
        """Compute the rankings, for new agents and changed domains only."""
        ranked_entries_by_domain = {}
        ranked = {}
        for agent_id, host in self.host_by_id_.items():
            domain = host.failure_domain
            if domain not in ranked_entries_by_domain:
                ranked_entries_by_domain[domain] = self._ranked_entries(
                    domain, domain_by_entry
                )
            ranked_entries = ranked_entries_by_domain[domain]
            previous = self._ranked_by_id.get(agent_id)
            if previous is None or previous[0] != ranked_entries:
                previous = (ranked_entries, self._rank_in(agent_id, ranked_entries))
            ranked[agent_id] = previous
        self._ranked_by_id = ranked
        ranks = ((agent_id, rank) for agent_id, (_, rank) in ranked.items())
        self.rank_by_id_ = {i: rank for i, rank in ranks if rank is not None}

    def _ranked_entries(self, domain, domain_by_entry):
        """Return the entries that are ranked for the agents of a failure domain.

        If it has too few entries of its own, entries of other domains are added.
        """
        own = sorted(e for e, d in domain_by_entry.items() if d == domain)
        if len(own) >= self.min_entries:
            return tuple(own)
        others = [e for e, d in domain_by_entry.items() if d != domain]
        return (*own, *members.choose(domain, others, MAX_RANKED_ENTRIES))

    def _rank_in(self, agent_id, ranked_entries):
        if self.node_id not in ranked_entries:
            return None
        name = agent_id.encode()
        own = xxhash.xxh64_intdigest(name, _entry_hash(self.node_id))
        return sum(
            xxhash.xxh64_intdigest(name, _entry_hash(e)) > own for e in ranked_entries
        )


@functools.lru_cache(maxsize=4096)
def _entry_hash(entry_id):
    return xxhash.xxh64_intdigest(entry_id.encode())


def _pair_weight(agent_id, entry_hash):
    return xxhash.xxh64_intdigest(agent_id.encode(), entry_hash)
