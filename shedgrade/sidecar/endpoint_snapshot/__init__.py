"""The list of upstreams and what was learned of them on disk, and how far that is trusted at a start."""
