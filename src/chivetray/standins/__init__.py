"""Stand-ins for external systems, for trials and tests."""
