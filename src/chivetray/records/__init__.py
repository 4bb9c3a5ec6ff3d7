"""State that entries share in the store: claims, leases, revisions and waves."""
