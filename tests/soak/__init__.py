"""Days with faults on real processes: stand-ins of the second review, played with drawn faults and signals."""
