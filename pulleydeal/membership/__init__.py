"""Cluster membership: view and epoch, heartbeats between controllers, ownership and leadership."""
