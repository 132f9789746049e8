"""Operators' routes and limits: an expression language, routes, limits, all checked whole at load. No I/O."""
