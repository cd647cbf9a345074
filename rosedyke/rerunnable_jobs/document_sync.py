"""Synchronises shared documents between peers."""

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import events, messages
from rosedyke.wire import peer

FETCH_TIMEOUT_S = 0.5


class DocumentSync:
    """Fetches newer revisions of shared documents from peers and serves its own to them.

    Attributes
    ----------
    topics_in_flight : set of str
        Topics that are being fetched.
    """

    def __init__(self, node):
        self.node = node
        self.topics_in_flight: set[str] = set()

    def sync_from(self, instance, versions):
        """Fetch the changes of the documents of which a peer has a newer version."""
        for topic in self.node.documents.outdated_topics(versions):
            if topic not in self.topics_in_flight:
                self.topics_in_flight.add(topic)
                self.node.runtime.spawn(self._fetch, instance, topic)

    def _fetch(self, instance, topic):
        try:
            known_revision = self.node.documents.by_topic[topic].revision
            if not self._merge_from(instance, topic, known_revision):
                self._merge_from(instance, topic, 0)
        except peer.PeerError as error:
            event.log(events.DOCUMENT_NOT_FETCHED, topic=topic, peer=instance.name, error=error)
            return
        finally:
            self.topics_in_flight.discard(topic)

    def _merge_from(self, instance, topic, known_revision):
        """Merge a peer's changes since a revision; return whether the document is then equal."""
        reply = self.node.peers.request(
            peer.at_address(instance.address),
            messages.FetchDocument(topic, known_revision),
            FETCH_TIMEOUT_S,
        )
        return self.node.documents.merge(reply, instance.name)

    def on_fetch(self, sender, message):
        """Answer a peer's request for a document."""
        return self.node.documents.copy_since(message.topic, message.revision)
