"""Tables of message handlers, filled by the components of a process."""

from sequoiagap import base

_log = base.get_logger("wire")


class HandlerTable:
    """Handlers by message class.

    A handler is a coroutine function of the connection and the message.
    """

    def __init__(self):
        self.by_type = {}

    def add(self, message_type, handler):
        """Register the handler of a message class.

        :param type message_type: the message class.
        :param handler: coroutine function of connection and message.
        :raises ValueError: if the class has a handler already.
        """
        if message_type in self.by_type:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.by_type[message_type] = handler

    async def handle(self, connection, item):
        """Pass a message to its handler; unknown kinds are logged and dropped.

        :param Connection connection: where the message came from.
        :param item: the message.
        """
        handler = self.by_type.get(type(item))
        if handler is None:
            _log.emit(
                base.Event.FRAME_REJECTED,
                peer=connection.peer.node_id,
                error=f"no handler for {type(item).__name__}",
            )
            return
        await handler(connection, item)
