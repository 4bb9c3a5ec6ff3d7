"""Streams between processes: membership, heartbeats, revisions, slot grants, calls."""
