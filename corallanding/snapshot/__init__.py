"""A steward's state as bytes: the module's (`module`), the file that holds it (`file`)."""
