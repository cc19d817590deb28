"""Load reports: what they look like (`envelope`), which are looked at (`triage`), what they are worth (`worth`), all
pure; and the intake process with its feed into the steward (`intake`, `feed`)."""
