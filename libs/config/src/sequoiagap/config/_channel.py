"""Configuration messages on a connection between two processes."""

from sequoiagap.config import _messages


class ConfigChannel:
    """Passes configuration messages between connections and a replica.

    :param ConfigReplica replica: handles the messages and makes the replies.
    :param on_confirmation_age: function called with the age of each received offer,
        the time in seconds since the platform confirmed it; none by default.
    """

    def __init__(self, replica, on_confirmation_age=None):
        self.replica = replica
        self.on_confirmation_age = on_confirmation_age

    def attach(self, handlers):
        """Register the handlers of configuration messages.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(_messages.ConfigOffer, self._on_offer)
        handlers.add(_messages.ConfigPull, self._on_pull)
        handlers.add(_messages.ConfigDelta, self._on_delta)
        handlers.add(_messages.ConfigBody, self._on_body)
        handlers.add(_messages.LocalDomainOut, self._on_local)

    async def send_offer(self, connection):
        """Send the offer of the version in force, and the local orders.

        Local orders are sent only within the failure domain that they were given in.

        :param sequoiagap.wire.Connection connection: new connection.
        :raises sequoiagap.base.WireError: if the connection is closed.
        """
        await connection.send(self.replica.offer())
        if not _is_within_domain(connection):
            return
        for item in self.replica.local_orders():
            await connection.send(item)

    async def _on_offer(self, connection, item):
        if self.on_confirmation_age is not None and item.age_ms >= 0:
            self.on_confirmation_age(item.age_ms / 1000)
        await _reply(connection, self.replica.on_offer(item))

    async def _on_pull(self, connection, item):
        await _reply(connection, self.replica.on_pull(item))

    async def _on_delta(self, connection, item):
        source = connection.peer.node_id
        await _reply(connection, self.replica.on_delta(item, source))

    async def _on_body(self, connection, item):
        self.replica.on_body(item, connection.peer.node_id)

    async def _on_local(self, connection, item):
        if _is_within_domain(connection):
            self.replica.on_local(item, connection.peer.node_id)


def _is_within_domain(connection):
    return connection.peer.failure_domain == connection.own.failure_domain


async def _reply(connection, item):
    if item is not None:
        await connection.send(item)
