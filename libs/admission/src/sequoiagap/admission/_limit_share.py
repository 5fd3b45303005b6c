"""Division of a limit among gateways that do not ask each other.

A limit that all gateways keep together is divided among as few of them as can each have
a useful part. Rendezvous hashing selects them, so that all gateways agree on who it is,
and different endpoints have different ones.
"""

import math

from sequoiagap import members


class LimitShare:
    """The part that one gateway has in a limit of an endpoint.

    :param str endpoint_id: the endpoint.
    :param str gateway_id: this gateway.
    :param int assumed_gateways: number of gateways to assume until they are listed.
    """

    def __init__(self, endpoint_id, gateway_id, assumed_gateways=1):
        self.endpoint_id = endpoint_id
        self.gateway_id = gateway_id
        self.assumed_gateways = assumed_gateways
        self._divided_for = None
        self._sharing = 1
        self._turns = 1
        self._own_turn = 0

    def part(self, limit, max_sharing, gateway_ids, turn=0):
        """Return this gateway's part of a limit.

        :param float limit: the limit.
        :param float max_sharing: maximum number of gateways that share it.
        :param frozenset gateway_ids: ids of the registered gateways.
        :param int turn: whose turn it is, if the gateways take turns.
        :returns: the part; 0 if it is not the turn of this gateway.
        :rtype: float
        """
        if not gateway_ids:
            return limit / self.assumed_gateways
        if self._divided_for != (gateway_ids, max_sharing):
            self._divide(max_sharing, gateway_ids)
        is_own_turn = turn % self._turns == self._own_turn
        return limit / self._sharing if is_own_turn else 0.0

    def _divide(self, max_sharing, gateway_ids):
        """Rank the gateways; those that share the limit in one turn are neighbours."""
        self._divided_for = (gateway_ids, max_sharing)
        count = len(gateway_ids)
        self._sharing = max(math.floor(min(max_sharing, count)), 1)
        self._turns = math.ceil(count / self._sharing)
        self._own_turn = 0
        if self._turns > 1:
            rank = members.rank(self.endpoint_id, self.gateway_id, gateway_ids)
            self._own_turn = rank // self._sharing
