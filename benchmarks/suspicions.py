"""False and delayed suspicions of endpoints, by confirmation rule.

Usage: ``python -m benchmarks.suspicions``.

A healthy endpoint answers prompts of varied length, with rare single errors; each
suspicion of it is false. A cold endpoint answers more slowly by a factor; the number
of its answers until it is suspected is counted.
"""

import random
import statistics

from sequoiagap import admission

ANSWERS = 20_000
RUNS = 5
SEED = 17
LONG_PROMPT_SHARE = 0.2
LONG_PROMPT_FACTOR = 10.0
ERROR_SHARE = 0.02
COLD_SLOWDOWNS = (4.0, 8.0)
ROW = "{:<34}{:>20}" + "{:>18}" * len(COLD_SLOWDOWNS)
RULES = {
    "1 slow answer, 1 error": {"confirming_answers": 1, "confirming_errors": 1},
    "2 slow answers, 2 errors": {"confirming_answers": 2, "confirming_errors": 2},
    "5 slow answers, 2 errors (taken)": {},
    "8 slow answers, 3 errors": {"confirming_answers": 8, "confirming_errors": 3},
}


def draw_first_byte_s(random_state):
    """Return a random first-byte time of a healthy endpoint, in seconds.

    :param random.Random random_state: source of randomness.
    :rtype: float
    """
    seconds = random_state.lognormvariate(-3.0, 0.3)
    is_long = random_state.random() < LONG_PROMPT_SHARE
    return seconds * (LONG_PROMPT_FACTOR if is_long else 1.0)


def make_trained_health(rule, random_state):
    """Return an endpoint health that has learned its baseline first-byte time.

    :param dict rule: confirmation parameters of the endpoint health.
    :param random.Random random_state: source of randomness.
    :rtype: sequoiagap.admission.EndpointHealth
    """
    health = admission.EndpointHealth(**rule)
    while not health.baseline_s_:
        health.record_answer(draw_first_byte_s(random_state))
    return health


def count_false(rule, random_state):
    """Return the number of suspicions of a healthy endpoint per 10,000 answers.

    :param dict rule: confirmation parameters of the endpoint health.
    :param random.Random random_state: source of randomness.
    :rtype: float
    """
    health = make_trained_health(rule, random_state)
    suspicions = 0
    for _ in range(ANSWERS):
        suspected = False
        if random_state.random() < ERROR_SHARE:
            suspected = health.record_error()
        else:
            suspected = health.record_answer(draw_first_byte_s(random_state))
        if suspected:
            suspicions += 1
            health.reset_after_suspicion(0.0)
    return suspicions / ANSWERS * 10_000


def count_missed(rule, slowdown, random_state):
    """Return the number of answers of a cold endpoint until it is suspected.

    :param dict rule: confirmation parameters of the endpoint health.
    :param float slowdown: first-byte time relative to a healthy endpoint.
    :param random.Random random_state: source of randomness.
    :rtype: int
    """
    health = make_trained_health(rule, random_state)
    for number in range(1, ANSWERS):
        if health.record_answer(draw_first_byte_s(random_state) * slowdown):
            return number
    return ANSWERS


def main():
    """Print the medians over the runs by confirmation rule."""
    heads = [f"answers at x{slowdown:g}" for slowdown in COLD_SLOWDOWNS]
    print(ROW.format("rule", "false of 10,000", *heads))
    for name, rule in RULES.items():
        values = [[count_false(rule, random.Random(SEED + run)) for run in range(RUNS)]]
        for slowdown in COLD_SLOWDOWNS:
            values.append(
                [
                    count_missed(rule, slowdown, random.Random(SEED + run))
                    for run in range(RUNS)
                ]
            )
        medians = [f"{statistics.median(column):g}" for column in values]
        print(ROW.format(name, *medians))


if __name__ == "__main__":
    main()
