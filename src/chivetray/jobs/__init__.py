"""Job model and scheduling rules, free of network and clock access."""
