"""Which other entries an entry connects to."""

from sequoiagap import members

OWN_DOMAIN_PEERS = 3
OTHER_DOMAIN_PEERS = 2
MAX_FULL_MESH = 8


def choose(own_id, own_domain, ids_by_domain):
    """Return the entries to connect to: a few near, one in a few other domains.

    Where there are only a few in all, these are all.

    :param str own_id: the entry that chooses.
    :param str own_domain: its failure domain.
    :param dict ids_by_domain: ids of entries by failure domain, its own among them.
    :rtype: list[str]

    >>> choose("e1", "north", {"north": ["e1", "e2"], "south": ["e3"]})
    ['e2', 'e3']
    """
    others_by_domain = {
        domain: [node_id for node_id in ids if node_id != own_id]
        for domain, ids in ids_by_domain.items()
    }
    if is_full_mesh(ids_by_domain):
        return [node_id for ids in others_by_domain.values() for node_id in ids]
    near = others_by_domain.pop(own_domain)
    chosen = members.choose(own_id, near, OWN_DOMAIN_PEERS)
    for domain in members.choose(own_id, others_by_domain, OTHER_DOMAIN_PEERS):
        chosen += members.choose(own_id, others_by_domain[domain], 1)
    return chosen


def is_full_mesh(ids_by_domain):
    """Return whether so few entries are known that all connect to all.

    :param dict ids_by_domain: ids of entries by failure domain.
    :rtype: bool
    """
    return sum(len(ids) for ids in ids_by_domain.values()) <= MAX_FULL_MESH
