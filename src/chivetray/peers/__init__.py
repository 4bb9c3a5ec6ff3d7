"""Streams between entries: membership, revisions and slot grants."""
