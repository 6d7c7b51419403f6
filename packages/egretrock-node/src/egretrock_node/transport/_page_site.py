"""Serves a tree of pages; apart from the channel, as few nodes need it."""

from typing import Any

from twisted.web import resource, server

from egretrock_node.transport._pages import PageFactory


class PageSite(PageFactory, server.Site):
    """Serves the pages of a resource tree.

    Args:
        root: Root of the tree.
        reactor: Twisted reactor.
    """

    def __init__(self, root: resource.Resource, reactor: Any) -> None:
        super().__init__(reactor, resource=root)
