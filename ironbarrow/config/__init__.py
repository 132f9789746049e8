"""What the program is told, checked before anything runs."""

from ironbarrow.config.loader import Config, ConfigError, load

__all__ = ["Config", "ConfigError", "load"]
