"""firvane: the decisions of an HTTP load balancer run as a small bank of proxies."""

__version__ = "0.1.0"
