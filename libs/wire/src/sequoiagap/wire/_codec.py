"""Message classes and their encoding as msgpack lists ``[number, field, ...]``.

The encoding allows processes of different versions: an older receiver ignores
fields that a newer sender appends, and fields that an older sender lacks take
their defaults. Message numbers are never reused.
"""

import dataclasses
import typing

import msgpack

from sequoiagap import base

MESSAGE_TYPES_BY_NUMBER = {}
_FIELD_TYPES_BY_CLASS = {}
_LOCAL = "local"


def local_field(default):
    """Return a message field that is neither sent nor shown by ``repr``.

    :param default: default value.
    :rtype: dataclasses.Field

    >>> @message(65002)
    ... class Probe:
    ...     name: str = ""
    ...     secret: str = local_field("")
    >>> decode(encode(Probe("a", secret="hidden")))
    Probe(name='a')
    """
    return dataclasses.field(default=default, repr=False, metadata={_LOCAL: True})


def message(number):
    """Return a decorator that turns a class into a message class.

    Fields may be ``str``, ``int``, ``float``, ``bool``, ``bytes``, ``list`` or
    ``dict``.

    :param int number: number of the message on the wire.
    :raises ValueError: if the number is registered already.

    >>> @message(65001)
    ... class Probe:
    ...     name: str = ""
    >>> decode(encode(Probe(name="a")))
    Probe(name='a')
    """

    def decorate(cls):
        if number in MESSAGE_TYPES_BY_NUMBER:
            raise ValueError(f"message number {number} is registered twice")
        cls = dataclasses.dataclass(slots=True)(cls)
        cls.NUMBER = number
        MESSAGE_TYPES_BY_NUMBER[number] = cls
        _FIELD_TYPES_BY_CLASS[cls] = _field_types(cls)
        return cls

    return decorate


def encode(item):
    """Return the encoded payload of a message.

    :param item: an instance of a message class.
    :rtype: bytes
    """
    names = _FIELD_TYPES_BY_CLASS[type(item)]
    values = [getattr(item, name) for name in names]
    return msgpack.packb([item.NUMBER, *values], use_bin_type=True)


def decode(payload):
    """Return the decoded message of a payload.

    :param bytes payload: result of :func:`encode`.
    :raises sequoiagap.base.WireError: if the payload is not a known message.
    """
    try:
        parts = msgpack.unpackb(payload, raw=False, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise _protocol_error(f"payload is not msgpack: {error}") from error
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], int):
        raise _protocol_error("payload is not a list that starts with a message number")
    cls = MESSAGE_TYPES_BY_NUMBER.get(parts[0])
    if cls is None:
        raise _protocol_error(f"message number {parts[0]} is unknown")
    return _build_message(cls, parts[1:])


def _build_message(cls, values):
    types_by_name = _FIELD_TYPES_BY_CLASS[cls]
    arguments = {}
    for (name, expected), value in zip(types_by_name.items(), values, strict=False):
        arguments[name] = _convert_value(cls, name, expected, value)
    try:
        return cls(**arguments)
    except TypeError as error:
        raise _protocol_error(f"{cls.__name__} lacks a field: {error}") from error


def _convert_value(cls, name, expected, value):
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is expected:
        return value
    raise _protocol_error(
        f"{cls.__name__}.{name} is {type(value).__name__}, not {expected.__name__}"
    )


def _field_types(cls):
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    names = [field.name for field in fields if not field.metadata.get(_LOCAL)]
    return {name: typing.get_origin(hints[name]) or hints[name] for name in names}


def _protocol_error(message_text):
    return base.WireError(
        message_text, "Check that both processes run compatible versions"
    )
