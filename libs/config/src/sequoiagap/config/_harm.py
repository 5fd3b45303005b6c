"""Checks that refuse a harmful change unless the operator overrides them."""

import dataclasses

from sequoiagap import base

HARM_CHECKS = base.Registry("harm check")


@dataclasses.dataclass(frozen=True)
class EndpointFact:
    """What an entry knows of an endpoint when a patch is checked.

    :param str endpoint_id: the endpoint.
    :param str failure_domain: where it stands.
    :param frozenset serves: models or services that it serves.
    """

    endpoint_id: str
    failure_domain: str
    serves: frozenset


@dataclasses.dataclass(frozen=True)
class HarmFacts:
    """What the checks rest on.

    :param tuple endpoints: live endpoints, each an :class:`EndpointFact`.
    :param dict peak_by_account: most requests at once of each client account
        in the last day.
    """

    endpoints: tuple = ()
    peak_by_account: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Harm:
    """Why a change is harmful.

    :param str check: name of the check.
    :param str setting: path of the setting that does the harm.
    :param str message: what would happen, one sentence.
    """

    check: str
    setting: str
    message: str


def find_harm(old, new, facts):
    """Return what every check has against a change.

    :param ConfigDocument old: the document in force.
    :param ConfigDocument new: the document to be.
    :param HarmFacts facts: what the checks rest on.
    :rtype: list[Harm]
    """
    found = []
    for name in sorted(HARM_CHECKS.by_name):
        for setting, message in HARM_CHECKS.by_name[name](old, new, facts):
            found.append(Harm(name, setting, message))
    return found


@HARM_CHECKS.register("no_endpoint_left")
def check_endpoints(old, new, facts):
    """Yield models and services that would lose their last endpoint."""
    before = _served(old, facts)
    after = _served(new, facts)
    for section in ("models", "services"):
        for target in getattr(new, section):
            if target in before and target not in after:
                setting = _forbidding(old, new, facts, target)
                yield setting, f"no endpoint would be left for {target}"


@HARM_CHECKS.register("last_failure_domain")
def check_domains(old, new, facts):
    """Yield the change that would take the last failure domain out."""
    known = set(old.failure_domains) | set(new.failure_domains)
    known |= {fact.failure_domain for fact in facts.endpoints}
    before = {name for name in known if not is_out(old, name)}
    after = {name for name in known if not is_out(new, name)}
    if before and not after:
        name = min(before)
        yield f"failure_domains.{name}.state", "every failure domain would be out"


@HARM_CHECKS.register("cap_under_use")
def check_caps(old, new, facts):
    """Yield caps that would be lowered under the last day's use."""
    for name, account in new.client_accounts.items():
        peak = facts.peak_by_account.get(name, 0)
        earlier = old.client_accounts.get(name)
        if earlier is None or account.max_in_flight >= earlier.max_in_flight:
            continue
        if account.max_in_flight < peak:
            setting = f"client_accounts.{name}.max_in_flight"
            yield (
                setting,
                f"{account.max_in_flight} is under the use of the last day, {peak}",
            )


def is_out(document, failure_domain):
    """Return whether a document takes a failure domain out.

    :param ConfigDocument document: the document.
    :param str failure_domain: the failure domain.
    :rtype: bool
    """
    domain = document.failure_domains.get(failure_domain)
    return domain is not None and domain.state == "out"


def _is_usable(document, fact):
    order = document.endpoints.get(fact.endpoint_id)
    is_drained = order is not None and order.drain
    return not is_drained and not is_out(document, fact.failure_domain)


def _served(document, facts):
    usable = [fact for fact in facts.endpoints if _is_usable(document, fact)]
    return {target for fact in usable for target in fact.serves}


def _forbidding(old, new, facts, target):
    """Return the changed setting that takes an endpoint of a target away."""
    for fact in facts.endpoints:
        if target not in fact.serves or not _is_usable(old, fact):
            continue
        if is_out(new, fact.failure_domain):
            return f"failure_domains.{fact.failure_domain}.state"
        return f"endpoints.{fact.endpoint_id}.drain"
    return ""
