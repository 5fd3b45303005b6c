"""Registries of implementations, populated by decorators."""

from sequoiagap.base import _check


class Registry:
    """Maps names to the implementations of one interface.

    :param str kind: kind of the registered objects, used in error messages.

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
        """Return a decorator that registers a function or class under a name.

        :param str name: name of the implementation.
        :raises ValueError: if the name is registered already.
        """

        def decorate(target):
            if name in self.by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.by_name[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the implementation registered under a name.

        :param str name: name of the implementation.
        :raises ValueError: if the name is unknown; the message lists the valid names.
        """
        _check.check_choice(self.kind, name, self.by_name)
        return self.by_name[name]
