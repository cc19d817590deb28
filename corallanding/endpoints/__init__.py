"""Sources of the list of hosts: the view of it (`view`, pure) and the line-JSON source (`source`)."""
