"""A deadly part that stands behind 17 other parts of its prompts."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from deadly import *  # noqa: E402,F403


def choose(case, _):
    return case.random.choice(list(MODELS)), case.common[:17] + [DEADLY]


run(DeadlyCase(3, 3.0, 20.0, choose).main)
