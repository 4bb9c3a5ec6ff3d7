"""What the entries share: claims, leases, revisions, waves, as rows of the store."""
