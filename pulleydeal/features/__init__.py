"""What is switched on in `deploy/features.toml`, and the context that such parts share."""
