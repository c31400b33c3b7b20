"""Credit queues: each controller hands out the free capacity of the machines that it owns."""
