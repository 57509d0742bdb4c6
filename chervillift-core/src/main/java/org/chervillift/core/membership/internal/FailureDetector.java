package org.chervillift.core.membership.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chervillift.core.membership.Listing;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.MembershipSettings;

/** Judges whether a member lives. */
public final class FailureDetector {

    private final String dataCentre;
    private final MembershipSettings settings;

    /** Creates the judge of a process in a data centre. */
    public FailureDetector(String dataCentre, MembershipSettings settings) {
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    /**
     * Returns the state of a member.
     *
     * @param listReadAt when the read of the latest list began, if there is one
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
        Duration bound = expectLink ? settings.suspectAfter() : settings.indirectSuspectAfter();
        return heardSince(member, now.minus(bound)) ? MemberState.ALIVE : MemberState.SUSPECTED;
    }

    private boolean isGone(Member member, Optional<Instant> listReadAt, Instant now) {
        if (heardSince(member, now.minus(settings.goneAfter()))) {
            return false;
        }
        boolean left = member.saidLeaving() && !member.isLinked();
        return left || isGoneByList(member, listReadAt);
    }

    /**
     * A list says so only if its content is surely later than the last sign of life, and than the
     * moment at which this life became known. The second counts since ages are upper bounds: a sign
     * of life may be dated before the life began.
     */
    private boolean isGoneByList(Member member, Optional<Instant> listReadAt) {
        if (member.listing() != Listing.ABSENT || listReadAt.isEmpty()) {
            return false;
        }
        Instant content = listReadAt.get().minus(settings.maxListAge());
        boolean heardBefore = member.heardAt().map(h -> h.isBefore(content)).orElse(true);
        return heardBefore && member.knownAt().isBefore(content);
    }

    private static boolean heardSince(Member member, Instant moment) {
        return member.heardAt().map(h -> h.isAfter(moment)).orElse(false);
    }
}
