"""What holds for all tests."""

pytest_plugins = ["known_red"]
