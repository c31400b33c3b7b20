"""View, epoch, siblings: who is a member, and who owns what."""
