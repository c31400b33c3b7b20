"""Catalogue, rentals, draining, demand: which machines there should be."""
