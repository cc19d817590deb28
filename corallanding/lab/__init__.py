"""Stand-ins on loopback, scenarios with faults, and the audit that judges them. Nothing else imports this."""
