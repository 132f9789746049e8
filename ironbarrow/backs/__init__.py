"""What carries invoker calls to providers."""
