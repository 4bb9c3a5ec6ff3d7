"""Simple stand-ins for the platform's store and for workers, for trials and tests."""
