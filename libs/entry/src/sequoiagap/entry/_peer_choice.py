"""Choice of the other entries that an entry connects to."""

from sequoiagap import members

OWN_DOMAIN_PEERS = 3
OTHER_DOMAIN_PEERS = 2
MAX_FULL_MESH = 8


def choose(own_id, own_domain, ids_by_domain):
    """Return the ids of the entries to connect to.

    These are a few of the own failure domain and one in each of a few others, or
    all entries if there are at most ``MAX_FULL_MESH``.

    :param str own_id: id of the entry that chooses.
    :param str own_domain: failure domain of that entry.
    :param dict ids_by_domain: ids of all entries by failure domain, including
        ``own_id``.
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
    """Return whether there are few enough entries for a full mesh.

    :param dict ids_by_domain: ids of entries by failure domain.
    :rtype: bool
    """
    return sum(len(ids) for ids in ids_by_domain.values()) <= MAX_FULL_MESH
