"""Fleet objects: their validation, revisions, VM states and maintenance waves."""
