"""Jobs, attempts and how they end: shared by all front ends and back ends, whatever their protocol."""
