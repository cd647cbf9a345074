"""Synchronises shared documents between peers."""

import attrs

from rosedyke.observe import event
from rosedyke.rerunnable_jobs import documents, events, messages
from rosedyke.wire import peer

FETCH_TIMEOUT_S = 0.5
# A version that a peer is believed to know is sent again after this time, in case it was lost.
REPEAT_INTERVAL_S = 0.5
# Peers that are remembered beyond the known instances, before those that are gone are removed.
MAX_GONE_PEERS = 16


@attrs.frozen
class KnownVersion:
    """The version of a document that a peer is believed to know.

    Attributes
    ----------
    checked_at : float
        When the peer's document was known to equal the one in the store.
    exchanged_at : float
        When it was last sent to the peer, or came from it.
    """

    revision: int
    digest: int
    checked_at: float
    exchanged_at: float


class DocumentSync:
    """Fetches newer revisions of shared documents from peers and serves its own to them.

    Attributes
    ----------
    topics_in_flight : set of str
        Topics that are being fetched.
    known : dict of str to dict of str to KnownVersion
        The versions that each peer is believed to know, by its name and the topic.
    """

    def __init__(self, node):
        self.node = node
        self.topics_in_flight: set[str] = set()
        self.known: dict[str, dict[str, KnownVersion]] = {}

    def versions_for(self, name: str) -> dict[str, messages.DocumentVersion]:
        """Return the versions to send to a peer: those that it may not know, and old ones again.

        The versions took half of each renewal, and most had no effect at the receiver.
        """
        now = self.node.runtime.now()
        known = self._known_by(name)
        versions = {
            topic: version
            for topic, version in self.node.documents.versions().items()
            if topic not in known or self._is_due(version, known[topic], name, now)
        }
        for topic, version in versions.items():
            known[topic] = KnownVersion(version.revision, version.digest, now - version.age_s, now)
        return versions

    def _known_by(self, name):
        instances = self.node.fleet.instances()
        if len(self.known) > len(instances) + MAX_GONE_PEERS:
            self.known = {peer: known for peer, known in self.known.items() if peer in instances}
        return self.known.setdefault(name, {})

    def _is_due(self, version, known, name, now):
        """Return whether a version may be news to a peer, which may have restarted."""
        is_old = now - known.exchanged_at > REPEAT_INTERVAL_S
        if is_old or self.node.fleet.alive_since.get(name, 0.0) > known.exchanged_at:
            return True
        known_version = messages.DocumentVersion(
            known.revision, known.digest, now - known.checked_at
        )
        return documents.is_news(version, known_version)

    def sync_from(self, instance, versions):
        """Fetch the changes of the documents of which a peer has a newer version."""
        now = self.node.runtime.now()
        known = self._known_by(instance.name)
        for topic, version in versions.items():
            known[topic] = KnownVersion(version.revision, version.digest, now - version.age_s, now)
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
