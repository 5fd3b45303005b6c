"""Safety checks that reject a harmful patch unless the operator overrides them."""

import dataclasses

from sequoiagap import base

HARM_CHECKS = base.Registry("harm check")


@dataclasses.dataclass(frozen=True)
class EndpointFact:
    """State of an endpoint, as input of the checks.

    :param str endpoint_id: id of the endpoint.
    :param str failure_domain: failure domain of the endpoint.
    :param frozenset serves: models or services that it serves.
    """

    endpoint_id: str
    failure_domain: str
    serves: frozenset


@dataclasses.dataclass(frozen=True)
class HarmFacts:
    """State of the system, as input of the checks.

    :param tuple endpoints: live endpoints, each an :class:`EndpointFact`.
    :param dict peak_by_account: maximum number of concurrent requests in the last
        day, by client account.
    """

    endpoints: tuple = ()
    peak_by_account: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Harm:
    """Finding of a check about a patch.

    :param str check: name of the check.
    :param str setting: path of the harmful setting.
    :param str message: effect of the patch, in one sentence.
    """

    check: str
    setting: str
    message: str


def find_harm(old, new, facts):
    """Return the findings of all checks about a change of the document.

    :param ConfigDocument old: document in force.
    :param ConfigDocument new: document with the patch applied.
    :param HarmFacts facts: state of the system.
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
    before = _served_targets(old, facts)
    after = _served_targets(new, facts)
    for section in ("models", "services"):
        for target in getattr(new, section):
            if target in before and target not in after:
                setting = _blocking_setting(old, new, facts, target)
                yield setting, f"no endpoint would be left for {target}"


@HARM_CHECKS.register("last_failure_domain")
def check_domains(old, new, facts):
    """Yield the setting that would take the last failure domain out of service."""
    known = set(old.failure_domains) | set(new.failure_domains)
    known |= {fact.failure_domain for fact in facts.endpoints}
    before = {name for name in known if not is_out(old, name)}
    after = {name for name in known if not is_out(new, name)}
    if before and not after:
        name = min(before)
        yield f"failure_domains.{name}.state", "every failure domain would be out"


@HARM_CHECKS.register("cap_under_use")
def check_caps(old, new, facts):
    """Yield account limits that would be lowered below the peak of the last day."""
    for name, account in new.client_accounts.items():
        peak = facts.peak_by_account.get(name, 0)
        earlier = old.client_accounts.get(name)
        if earlier is None or account.max_in_flight >= earlier.max_in_flight:
            continue
        if account.max_in_flight < peak:
            setting = f"client_accounts.{name}.max_in_flight"
            yield (
                setting,
                f"{account.max_in_flight} is below the peak of the last day, {peak}",
            )


def is_out(document, failure_domain):
    """Return whether a failure domain is out of service in a document.

    :param ConfigDocument document: configuration document.
    :param str failure_domain: name of the failure domain.
    :rtype: bool
    """
    domain = document.failure_domains.get(failure_domain)
    return domain is not None and domain.state == "out"


def _is_usable(document, fact):
    order = document.endpoints.get(fact.endpoint_id)
    is_drained = order is not None and order.drain
    return not is_drained and not is_out(document, fact.failure_domain)


def _served_targets(document, facts):
    usable = [fact for fact in facts.endpoints if _is_usable(document, fact)]
    return {target for fact in usable for target in fact.serves}


def _blocking_setting(old, new, facts, target):
    """Return the changed setting that removes an endpoint of a model or service."""
    for fact in facts.endpoints:
        if target not in fact.serves or not _is_usable(old, fact):
            continue
        if is_out(new, fact.failure_domain):
            return f"failure_domains.{fact.failure_domain}.state"
        return f"endpoints.{fact.endpoint_id}.drain"
    return ""
