"""The control hosts and the entry hosts of a deployment with workers."""
