"""``ironbarrow serve`` with the failures that ``IRONBARROW_FAULTS`` describes, a plan as JSON."""

import os
import sys

from ironbarrow.lab.faults.injector import FaultInjector
from ironbarrow.lab.faults.rules import PLAN_VARIABLE, FaultPlan, FaultPlanError


def main() -> int:
    """Serves; the exit status."""
    try:
        plan = FaultPlan.parse(os.environ.get(PLAN_VARIABLE, "{}"))
    except FaultPlanError as error:
        print(f"{PLAN_VARIABLE}: {error}", file=sys.stderr)
        return 2
    FaultInjector(plan).install()
    # only now: what the program takes from these modules as it is loaded is the replaced calls
    from ironbarrow.cli.serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
