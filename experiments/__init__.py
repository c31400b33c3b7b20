"""Every measurement that is not the bench's: `python3 -m experiments NAME`."""
