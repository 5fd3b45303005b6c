"""Stand-ins for outside systems, with fault switches, and the load tool."""
