"""Request handling: admission, endpoint choice, attempts and responses."""
