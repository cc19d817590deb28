"""The HTTP door: health, metrics and tables, read only (`door`)."""
