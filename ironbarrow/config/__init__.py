"""The configuration of the program, checked before it starts to serve."""

from ironbarrow.config.loader import Config, ConfigError, load

__all__ = ["Config", "ConfigError", "load"]
