"""False and missed suspicions of endpoints, by rule of confirmation.

Usage: ``python -m benchmarks.suspicions``.

A healthy endpoint answers with varied prompts and rare single errors; each
suspicion of it is false. A cold one answers more slowly by a factor; counted is
how many answers pass before it is suspected.
"""

import random
import statistics

from sequoiagap import admission

ANSWERS = 20_000
RUNS = 5
SEED = 17
LONG_SHARE = 0.2
LONG_FACTOR = 10.0
ERROR_SHARE = 0.02
COLD_FACTORS = (4.0, 8.0)
ROW = "{:<34}{:>20}" + "{:>18}" * len(COLD_FACTORS)
RULES = {
    "1 slow answer, 1 error": {"confirming_answers": 1, "confirming_errors": 1},
    "2 slow answers, 2 errors": {"confirming_answers": 2, "confirming_errors": 2},
    "5 slow answers, 2 errors (taken)": {},
    "8 slow answers, 3 errors": {"confirming_answers": 8, "confirming_errors": 3},
}


def draw_first_byte_s(random_state):
    """Return the first-byte time of a healthy endpoint.

    :param random.Random random_state: source of randomness.
    :rtype: float
    """
    seconds = random_state.lognormvariate(-3.0, 0.3)
    is_long = random_state.random() < LONG_SHARE
    return seconds * (LONG_FACTOR if is_long else 1.0)


def learn(rule, random_state):
    """Return a judgement that knows the usual first-byte time.

    :param dict rule: parameters of the judgement.
    :param random.Random random_state: source of randomness.
    :rtype: sequoiagap.admission.EndpointHealth
    """
    health = admission.EndpointHealth(**rule)
    while not health.baseline_s_:
        health.record_answer(draw_first_byte_s(random_state))
    return health


def count_false(rule, random_state):
    """Return the suspicions of a healthy endpoint for 10,000 answers.

    :param dict rule: parameters of the judgement.
    :param random.Random random_state: source of randomness.
    :rtype: float
    """
    health = learn(rule, random_state)
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


def count_missed(rule, factor, random_state):
    """Return how many answers a cold endpoint gives before it is suspected.

    :param dict rule: parameters of the judgement.
    :param float factor: how much slower it is.
    :param random.Random random_state: source of randomness.
    :rtype: int
    """
    health = learn(rule, random_state)
    for number in range(1, ANSWERS):
        if health.record_answer(draw_first_byte_s(random_state) * factor):
            return number
    return ANSWERS


def main():
    """Print medians over the runs."""
    heads = [f"answers at x{factor:g}" for factor in COLD_FACTORS]
    print(ROW.format("rule", "false of 10,000", *heads))
    for name, rule in RULES.items():
        values = [[count_false(rule, random.Random(SEED + run)) for run in range(RUNS)]]
        for factor in COLD_FACTORS:
            values.append(
                [
                    count_missed(rule, factor, random.Random(SEED + run))
                    for run in range(RUNS)
                ]
            )
        medians = [f"{statistics.median(column):g}" for column in values]
        print(ROW.format(name, *medians))


if __name__ == "__main__":
    main()
