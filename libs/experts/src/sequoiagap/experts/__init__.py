"""Expert maps: planning, placement and the change of map across ranks."""
