"""What carries invoker calls to workers."""
