"""What carries attempts to workers."""
