"""System calls that fail in a dispatcher's own process; ``python -m ironbarrow.lab.faults`` serves so."""
