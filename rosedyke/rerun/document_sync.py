"""Fetches shared documents from peers that have newer ones, and hands them out."""

from rosedyke.observe import event
from rosedyke.rerun import events, messages
from rosedyke.wire import peer

FETCH_TIMEOUT_S = 0.5


class Following:
    """Keeps the documents of one node up with its peers'.

    Attributes
    ----------
    fetching : set of str
        Topics that are being fetched.
    """

    def __init__(self, node):
        self.node = node
        self.fetching: set[str] = set()

    def follow(self, instance, revisions):
        """Fetch what a peer with these revisions has newer."""
        for topic in self.node.documents.behind(revisions):
            if topic not in self.fetching:
                self.fetching.add(topic)
                self.node.runtime.spawn(self._fetch, instance, topic)

    def _fetch(self, instance, topic):
        try:
            copy = self.node.peers.request(
                peer.at_address(instance.address), messages.Fetch(topic), FETCH_TIMEOUT_S
            )
        except peer.PeerError as error:
            event.log(events.DOCUMENT_NOT_FETCHED, topic=topic, peer=instance.name, error=error)
            return
        finally:
            self.fetching.discard(topic)
        if copy.revision:
            self.node.documents.take(topic, copy.revision, copy.content, instance.name)

    def on_fetch(self, sender, message):
        """Hand a document out."""
        found = self.node.documents.by_topic.get(message.topic)
        if found is None:
            return messages.Copy(message.topic, 0, b"")
        return messages.Copy(message.topic, found.revision, found.content)
