"""Control duties that entries take in turn, and their side of a drain."""
