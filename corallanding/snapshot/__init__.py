"""Serialized state of a controller: its assigner (`assigner_state`, `rankings`) and the snapshot file (`file`)."""
