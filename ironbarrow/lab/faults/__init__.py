"""Fault injection for system calls inside a dispatcher's process (``ironbarrow.cli.serve_with_faults``)."""
