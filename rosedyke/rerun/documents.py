"""Documents that every instance follows, and that spread between instances as well.

Each comes from the platform's store.  An instance that the store turns away, or that starts while
the store is down, gets the newest revision from its peers; a revision never goes back.
"""

from collections.abc import Callable

import attrs

from rosedyke.observe import event
from rosedyke.rerun import events


@attrs.define
class Document:
    """One document: a revision of the store and opaque bytes.

    Attributes
    ----------
    on_change : callable
        ``on_change(content)``, called with each newer revision; it must not block.
    """

    on_change: Callable[[bytes], None]
    revision: int = 0
    content: bytes = b""


class Documents:
    """All shared documents of an instance, by topic."""

    def __init__(self):
        self.by_topic: dict[str, Document] = {}

    def add(self, topic: str, on_change: Callable[[bytes], None]) -> None:
        """Begin to follow a document."""
        self.by_topic[topic] = Document(on_change)

    def revisions(self) -> dict[str, int]:
        """Return the revision of each document."""
        return {topic: document.revision for topic, document in self.by_topic.items()}

    def behind(self, revisions: dict[str, int]) -> list[str]:
        """Return the topics of which these revisions are newer."""
        return [
            topic
            for topic, document in self.by_topic.items()
            if revisions.get(topic, 0) > document.revision
        ]

    def take(self, topic: str, revision: int, content: bytes, source: str) -> bool:
        """Take a document in if it is newer; return whether it was."""
        document = self.by_topic[topic]
        if revision <= document.revision:
            return False
        document.revision, document.content = revision, content
        if source:
            event.log(events.DOCUMENT_FROM_PEER, topic=topic, revision=revision, peer=source)
        document.on_change(content)
        return True
