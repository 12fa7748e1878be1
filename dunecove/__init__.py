"""dunecove: the decisions of an HTTP load balancer run as a small bank of proxies."""

from dunecove.policy.balancer import Balancer
from dunecove.policy.settings import Settings

__all__ = ["Balancer", "Settings"]
__version__ = "0.1.0"
