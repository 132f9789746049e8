"""A soak: real dispatchers under random, overlapping faults, judged by the rules of service."""
