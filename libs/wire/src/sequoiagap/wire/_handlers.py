"""Dispatch of received messages to the handlers of a process's components."""

from sequoiagap import base

_log = base.get_logger("wire")


class HandlerTable:
    """Dispatches messages to handlers by message class.

    A handler is a coroutine function that takes the connection and the message.

    :ivar dict by_type: message class to handler.
    """

    def __init__(self):
        self.by_type = {}

    def add(self, message_type, handler):
        """Register the handler of a message class.

        :param type message_type: the message class.
        :param handler: coroutine function that takes connection and message.
        :raises ValueError: if the class has a handler already.
        """
        if message_type in self.by_type:
            raise ValueError(f"{message_type.__name__} has a handler already")
        self.by_type[message_type] = handler

    async def handle(self, connection, item):
        """Pass a message to its handler; a message without one is logged and dropped.

        :param Connection connection: connection that received the message.
        :param item: received message.
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
