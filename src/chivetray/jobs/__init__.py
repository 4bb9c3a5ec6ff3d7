"""Jobs in the product's own terms, without network or clock."""
