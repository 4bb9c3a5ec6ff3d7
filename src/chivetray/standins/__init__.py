"""Stand-ins of outside systems, for trials and tests."""
