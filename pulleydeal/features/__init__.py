"""Optional features, enabled in `deploy/features.toml`, and the infrastructure they share."""
