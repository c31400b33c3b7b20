"""Small worlds, explored in every order of events, with the service's own decisions."""
