"""The state of a controller as bytes: of its assigner (`assigner_state`, `rankings`), and the file that holds it."""
