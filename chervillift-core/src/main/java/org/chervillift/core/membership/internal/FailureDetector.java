package org.chervillift.core.membership.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chervillift.core.membership.Listing;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.MembershipSettings;

/** Determines the state of a member from when it was last heard and from the list. */
public final class FailureDetector {

    private final String dataCentre;
    private final MembershipSettings settings;

    /** Creates the failure detector of a process in a data centre. */
    public FailureDetector(String dataCentre, MembershipSettings settings) {
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    /**
     * Returns the state of a member.
     *
     * @param listReadAt the start time of the read of the latest list, if there is one
     */
    public MemberState stateOf(Member member, Optional<Instant> listReadAt, Instant now) {
        if (member.state() == MemberState.GONE && !heardSince(member, member.since())) {
            return MemberState.GONE;
        }
        if (isGone(member, listReadAt, now)) {
            return MemberState.GONE;
        }
        if (member.saidLeaving() || member.listing() == Listing.LEAVING) {
            return MemberState.LEAVING;
        }
        boolean expectLink = member.isLinked() || member.node().dataCentre().equals(dataCentre);
        Duration timeout = expectLink ? settings.suspectAfter() : settings.indirectSuspectAfter();
        return heardSince(member, now.minus(timeout)) ? MemberState.ALIVE : MemberState.SUSPECTED;
    }

    private boolean isGone(Member member, Optional<Instant> listReadAt, Instant now) {
        if (heardSince(member, now.minus(settings.goneAfter()))) {
            return false;
        }
        boolean hasLeft = member.saidLeaving() && !member.isLinked();
        return hasLeft || isGoneByList(member, listReadAt);
    }

    /**
     * Returns whether the list shows that the member is gone. Its content must be later than the
     * last time the member was heard and than the time this incarnation became known. The second
     * condition is needed because ages are upper bounds: the computed time at which a member was
     * heard may be before its start.
     */
    private boolean isGoneByList(Member member, Optional<Instant> listReadAt) {
        if (member.listing() != Listing.ABSENT || listReadAt.isEmpty()) {
            return false;
        }
        Instant contentTime = listReadAt.get().minus(settings.maxListAge());
        boolean heardBefore = member.heardAt().map(h -> h.isBefore(contentTime)).orElse(true);
        return heardBefore && member.knownAt().isBefore(contentTime);
    }

    private static boolean heardSince(Member member, Instant time) {
        return member.heardAt().map(h -> h.isAfter(time)).orElse(false);
    }
}
