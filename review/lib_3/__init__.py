"""A small deployment for the cases of the third review."""
