"""Objects of the fleet: checking, revisions and states."""
