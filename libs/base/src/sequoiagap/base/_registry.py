"""Registries that decorators fill."""

from sequoiagap.base import _check


class Registry:
    """Named implementations of one behaviour.

    :param str kind: what is registered, for messages.

    >>> policies = Registry("policy")
    >>> @policies.register("first")
    ... def first(items):
    ...     return items[0]
    >>> policies.get("first")([7, 8])
    7
    """

    def __init__(self, kind):
        self.kind = kind
        self.by_name = {}

    def register(self, name):
        """Return a decorator that registers its target under a name.

        :param str name: name of the implementation.
        :raises ValueError: if the name is taken.
        """

        def decorate(target):
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.by_name[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the implementation of a name.

        :param str name: name of the implementation.
        :raises ValueError: if there is none; the message lists the names.
        """
        _check.check_choice(self.kind, name, self.by_name)
        return self.by_name[name]
