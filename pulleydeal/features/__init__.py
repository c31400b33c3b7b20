"""What is switched on in `deploy/features.toml`, and the ground that such parts share."""
