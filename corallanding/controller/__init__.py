"""The controller process: engine, connections, persistence, handover, and services over the cores."""
