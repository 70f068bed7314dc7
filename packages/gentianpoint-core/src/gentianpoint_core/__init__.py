"""What the entry and the agent share.

The public surface is the modules named in ``__all__``; code imports the
modules, never single objects, as OpenStack's guidelines ask.
"""

from gentianpoint_core import codec
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import generation_ids
from gentianpoint_core import http_engine
from gentianpoint_core import http_host_list
from gentianpoint_core import http_log
from gentianpoint_core import http_plain_service
from gentianpoint_core import http_weight_store
from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core import ports

__all__ = (
    "codec",
    "deadlines",
    "errors",
    "generation_ids",
    "http_engine",
    "http_host_list",
    "http_log",
    "http_plain_service",
    "http_weight_store",
    "logs",
    "option_types",
    "ports",
)
