"""Configuration of all tests."""

pytest_plugins = ["known_red"]
