"""Small stand-ins of the platform's store and workers, for trials and tests."""
