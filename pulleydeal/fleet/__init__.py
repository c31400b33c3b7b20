"""The fleet: machine types, rental planning, renting, and returning machines."""
