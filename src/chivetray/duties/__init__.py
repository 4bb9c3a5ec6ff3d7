"""Control duties held by one entry at a time, and the entry's part of a drain."""
