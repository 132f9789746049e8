"""``ironbarrow serve`` with injected faults. ``IRONBARROW_FAULTS`` holds the fault plan as JSON."""

import os
import sys

from ironbarrow.lab.faults.injector import FaultInjector
from ironbarrow.lab.faults.rules import PLAN_VARIABLE, FaultPlan, FaultPlanError


def main() -> int:
    """Installs the faults and serves. Returns the exit status."""
    try:
        plan = FaultPlan.parse(os.environ.get(PLAN_VARIABLE, "{}"))
    except FaultPlanError as error:
        print(f"{PLAN_VARIABLE}: {error}", file=sys.stderr)
        return 2
    FaultInjector(plan).install()
    # imported after the installation, so that names that modules import are bound to the replaced calls
    from ironbarrow.cli.serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
