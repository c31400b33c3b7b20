"""Handling of zones that lose contact: proxy lease renewal, cancellations and machine returns."""
