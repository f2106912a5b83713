"""HTTP/1.1 on the stream loop: a server and a client."""
