"""The way of one request: admission, endpoint, attempts, answer."""
