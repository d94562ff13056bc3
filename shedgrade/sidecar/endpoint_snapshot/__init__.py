"""The endpoint list and the learned state saved on disk, and how far they are trusted after a restart."""
