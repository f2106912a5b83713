"""Control hosts and entry hosts of a deployment with worker executors."""
