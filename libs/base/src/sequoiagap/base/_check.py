"""Validation of parameters with uniform error messages."""

import re

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")


def check_positive(name, value):
    """Return the value if it is a number above zero.

    :param str name: name of the parameter, for the message.
    :param float value: value to check.
    :rtype: float
    :raises ValueError: if the value is not a number above zero.

    >>> check_positive("limit", 3)
    3
    """
    if not _is_number(value) or value <= 0:
        raise ValueError(f"{name}={value!r} must be a number above 0")
    return value


def check_non_negative(name, value):
    """Return the value if it is a number of at least zero.

    :param str name: name of the parameter, for the message.
    :param float value: value to check.
    :rtype: float
    :raises ValueError: if the value is not a number of at least zero.

    >>> check_non_negative("delay_s", 0)
    0
    """
    if not _is_number(value) or value < 0:
        raise ValueError(f"{name}={value!r} must be a number of at least 0")
    return value


def check_fraction(name, value):
    """Return the value if it is a number from 0 to 1, both included.

    :param str name: name of the parameter, for the message.
    :param float value: value to check.
    :rtype: float
    :raises ValueError: if the value is outside the range.

    >>> check_fraction("share", 0.25)
    0.25
    """
    if not _is_number(value) or not 0 <= value <= 1:
        raise ValueError(f"{name}={value!r} must be a number from 0 to 1")
    return value


def check_choice(name, value, choices):
    """Return the value if it is one of the choices.

    :param str name: name of the parameter, for the message.
    :param str value: value to check.
    :param collections.abc.Iterable[str] choices: allowed values.
    :rtype: str
    :raises ValueError: if the value is none of the choices.

    >>> check_choice("role", "entry", ["agent", "entry"])
    'entry'
    """
    allowed = sorted(choices)
    if value not in allowed:
        listed = ", ".join(allowed)
        raise ValueError(f"{name}={value!r} is unknown; use one of: {listed}")
    return value


def check_name(name, value):
    """Return the value if it is an identifier.

    Identifiers consist of letters, digits, dots, dashes and underscores, and start
    with a letter or digit.

    :param str name: name of the parameter, for the message.
    :param str value: identifier of at most 128 characters.
    :rtype: str
    :raises ValueError: if the value is not an identifier.

    >>> check_name("model", "basalt-7b")
    'basalt-7b'
    """
    if not isinstance(value, str) or not _NAME.match(value):
        raise ValueError(
            f"{name}={value!r} must be 1 to 128 letters, digits, '.', '_' or '-', "
            "starting with a letter or digit"
        )
    return value


def _is_number(value):
    return isinstance(value, int | float) and not isinstance(value, bool)
