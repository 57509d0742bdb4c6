package org.chervillift.wire.internal;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.wire.PeerIdentity;

/**
 * The link in use to each peer. Written on the event loop only; read by any thread.
 *
 * <p>Of two links to one life of a peer, that dialled by the lower identifier stays, so that both
 * sides keep the same one. A later life always takes the place of an earlier one.
 */
final class LinkTable {

    private final String selfId;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    LinkTable(String selfId) {
        this.selfId = selfId;
    }

    /**
     * What an addition changed.
     *
     * @param loser the link to close
     * @param replacedLife the earlier life of the peer that lost its link
     * @param newLife whether this life of the peer had no link before
     */
    record Change(
            Optional<LinkHandler> loser, Optional<PeerIdentity> replacedLife, boolean newLife) {}

    Change add(LinkHandler link, Session session) {
        Entry added = new Entry(link, session);
        Entry old = entries.get(session.peer().id());
        if (old == null) {
            entries.put(session.peer().id(), added);
            return new Change(Optional.empty(), Optional.empty(), true);
        }
        long oldLife = old.session().peer().incarnation();
        long newLife = session.peer().incarnation();
        if (newLife < oldLife || (newLife == oldLife && !prefers(session, old.session()))) {
            return new Change(Optional.of(link), Optional.empty(), false);
        }
        entries.put(session.peer().id(), added);
        Optional<PeerIdentity> replaced =
                newLife > oldLife ? Optional.of(old.session().peer()) : Optional.empty();
        return new Change(Optional.of(old.link()), replaced, newLife > oldLife);
    }

    /** Removes a link and returns whether it was the one in use. */
    boolean remove(LinkHandler link) {
        return entries.values().removeIf(e -> e.link() == link);
    }

    LinkHandler byId(String peerId) {
        Entry entry = entries.get(peerId);
        return entry == null ? null : entry.link();
    }

    Set<LinkHandler> all() {
        return entries.values().stream().map(Entry::link).collect(Collectors.toSet());
    }

    Set<PeerIdentity> peers() {
        return entries.values().stream()
                .map(e -> e.session().peer())
                .collect(Collectors.toUnmodifiableSet());
    }

    boolean isLinked(HostPort listen) {
        return entries.values().stream().anyMatch(e -> e.session().listen().equals(listen));
    }

    private boolean prefers(Session added, Session old) {
        String newDialler = added.diallerId(selfId);
        String oldDialler = old.diallerId(selfId);
        return newDialler.compareTo(oldDialler) <= 0;
    }

    private record Entry(LinkHandler link, Session session) {}
}
