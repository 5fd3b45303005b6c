"""Error messages for settings that fail validation."""

import difflib
import typing

import pydantic

from sequoiagap import base

MAX_SHOWN_CHARACTERS = 80


def to_config_error(path, model, error, show_values=True):
    """Return an error that names the file, key, value and correction of each problem.

    :param str path: path of the settings file.
    :param type model: model that the file was validated against.
    :param pydantic.ValidationError error: result of the validation.
    :param bool show_values: whether to show values; false if they may be secret.
    :rtype: sequoiagap.base.ConfigError
    """
    lines = [
        _problem_line(path, model, problem, show_values)
        for problem in error.errors(include_url=False)
    ]
    return base.ConfigError("\n".join(lines), "")


def _problem_line(path, model, problem, show_values):
    loc = problem["loc"]
    key = ".".join(str(part) for part in loc)
    if problem["type"] == "extra_forbidden":
        return f"{path}: {key}: unknown key; {_suggest_key(model, loc)}"
    if problem["type"] == "missing":
        return f"{path}: {key}: missing; add it{_example_text(model, loc)}"
    value = repr(problem.get("input"))[:MAX_SHOWN_CHARACTERS]
    shown = value if show_values else "(value not shown)"
    return f"{path}: {key}: {shown}: {problem['msg']}{_example_text(model, loc)}"


def _suggest_key(model, loc):
    parent = _model_at(model, loc[:-1])
    names = list(parent.model_fields) if parent else []
    similar = difflib.get_close_matches(str(loc[-1]), names, n=1)
    return f"did you mean {similar[0]!r}?" if similar else "remove it"


def _example_text(model, loc):
    parent = _model_at(model, loc[:-1])
    field = parent.model_fields.get(loc[-1]) if parent else None
    if field is None or not field.examples:
        return ""
    return f"; write, for example, {field.examples[0]!r}"


def _model_at(model, loc):
    for part in loc:
        field = model.model_fields.get(part)
        model = _model_of(field.annotation) if field else None
        if model is None:
            return None
    return model


def _model_of(annotation):
    for item in (annotation, *typing.get_args(annotation)):
        if isinstance(item, type) and issubclass(item, pydantic.BaseModel):
            return item
    return None
