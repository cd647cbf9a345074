"""Shared documents from the platform's store, which instances also replicate among themselves.

An instance that the store rejects, or that starts while the store is down, gets the newest
revision from its peers.  Revisions never decrease.
"""

from collections.abc import Callable

import attrs

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events


@attrs.define
class Document:
    """A document: its revision in the store and its opaque content.

    Attributes
    ----------
    on_change : callable
        ``on_change(content)``, called for each newer revision; it must not block.
    """

    on_change: Callable[[bytes], None]
    revision: int = 0
    content: bytes = b""


class Documents:
    """The shared documents of an instance, by topic."""

    def __init__(self):
        self.by_topic: dict[str, Document] = {}

    def add(self, topic: str, on_change: Callable[[bytes], None]) -> None:
        """Register a document."""
        self.by_topic[topic] = Document(on_change)

    def revisions(self) -> dict[str, int]:
        """Return the revision of each document."""
        return {topic: document.revision for topic, document in self.by_topic.items()}

    def outdated_topics(self, revisions: dict[str, int]) -> list[str]:
        """Return the topics with a newer revision in ``revisions``."""
        return [
            topic
            for topic, document in self.by_topic.items()
            if revisions.get(topic, 0) > document.revision
        ]

    def update(self, topic: str, revision: int, content: bytes, source: str) -> bool:
        """Store a document if its revision is newer; return whether it was."""
        document = self.by_topic[topic]
        if revision <= document.revision:
            return False
        document.revision, document.content = revision, content
        if source:
            event.log(events.DOCUMENT_FROM_PEER, topic=topic, revision=revision, peer=source)
        document.on_change(content)
        return True
