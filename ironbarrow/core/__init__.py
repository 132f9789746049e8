"""Jobs, attempts and how they end: shared by all fronts and backs, whatever their protocol."""
