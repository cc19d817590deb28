"""Configuration of a controller: HCL parsed by python-hcl2 (`hcl`) and validated by pydantic models (`models`)."""

from .assigner_settings import assigner_settings
from .errors import ConfigError
from .hcl import load
from .models import ControllerConfig, load_controller

__all__ = ["ConfigError", "ControllerConfig", "assigner_settings", "load", "load_controller"]
