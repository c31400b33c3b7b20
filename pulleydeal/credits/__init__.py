"""Credit queues: free room signalled by machines, spent once by their one owner."""
