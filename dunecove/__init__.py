"""dunecove: an HTTP/1.1 load balancer run as a tier of independent proxies."""

from dunecove.policy.balancer import Balancer
from dunecove.policy.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
