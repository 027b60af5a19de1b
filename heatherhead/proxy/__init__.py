"""The HTTP data path: callers' connections, forwarding and connections to upstreams."""
