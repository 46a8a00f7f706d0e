"""Explanation of where a request would be sent now, without sending it."""

from ._explainer import WhereExplainer
from ._query import WhereQuery, parse_query

__all__ = ["WhereExplainer", "WhereQuery", "parse_query"]
