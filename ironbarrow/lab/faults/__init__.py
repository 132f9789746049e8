"""System calls that fail in a dispatcher's own process; ``ironbarrow.cli.serve_with_faults`` serves so."""
