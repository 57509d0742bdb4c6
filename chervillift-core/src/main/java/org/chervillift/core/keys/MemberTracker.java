package org.chervillift.core.keys;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.chervillift.api.config.KeyMembers;

/**
 * Tracks which member list each member has read and how long its promises allow keyed requests.
 *
 * <p>Members are the processes that may acknowledge a withdrawal. For members that this process
 * does not hear from directly, only the values reported for their whole data centre are known.
 */
final class MemberTracker {

    private final String self;
    private final FreshnessRules rules;
    private final Map<String, Long> seenVersionByMember = new HashMap<>();
    private final Map<String, RingExpiry> expiryByMember = new HashMap<>();
    private final Map<String, Long> seenVersionByDataCentre = new HashMap<>();
    private final Map<String, RingExpiry> expiryByDataCentre = new HashMap<>();
    private KeyMembers members = KeyMembers.EMPTY;

    MemberTracker(String self, FreshnessRules rules) {
        this.self = self;
        this.rules = rules;
    }

    KeyMembers members() {
        return members;
    }

    /**
     * Replaces the member list if the given one is newer, and drops the promises that a member gave
     * before it was restarted, which may be unlimited.
     */
    void updateMembers(KeyMembers newer) {
        if (newer.version() <= members.version()) {
            return;
        }
        newer.members()
                .forEach(
                        (id, member) -> {
                            KeyMembers.Member earlier = members.members().get(id);
                            boolean sameIncarnation =
                                    earlier != null
                                            && earlier.joinedVersion() == member.joinedVersion();
                            if (!sameIncarnation) {
                                expiryByMember.remove(id);
                            }
                        });
        members = newer;
    }

    void recordSeen(String member, long membersVersion) {
        seenVersionByMember.merge(member, membersVersion, Math::max);
    }

    void recordPromise(String member, RingExpiry expiry) {
        expiryByMember.merge(member, expiry, RingExpiry::latest);
    }

    void recordDataCentreSeen(String dataCentre, long membersVersion) {
        seenVersionByDataCentre.merge(dataCentre, membersVersion, Math::max);
    }

    void recordDataCentrePromise(String dataCentre, RingExpiry expiry) {
        expiryByDataCentre.merge(dataCentre, expiry, RingExpiry::latest);
    }

    TreeSet<String> dataCentres() {
        TreeSet<String> names = new TreeSet<>();
        members.members().values().forEach(m -> names.add(m.dataCentre()));
        return names;
    }

    /**
     * Returns the lowest version of the member list that any member of a data centre has read.
     *
     * @param ownVersion the version to use for this process
     */
    long minSeenVersion(String dataCentre, long ownVersion, Instant now) {
        long lowest = Long.MAX_VALUE;
        for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
            if (e.getKey().equals(self)) {
                lowest = Math.min(lowest, ownVersion);
            } else if (!KeyMembership.isExpired(e.getValue(), rules, now)) {
                lowest = Math.min(lowest, seenVersion(e.getKey(), e.getValue()));
            }
        }
        long reportedByMembers = Math.min(lowest, members.version());
        return Math.max(reportedByMembers, seenVersionByDataCentre.getOrDefault(dataCentre, 0L));
    }

    /** Returns the other members that may not have read a version of the member list yet. */
    List<String> membersBehind(long version, Instant now) {
        List<String> names = new ArrayList<>();
        for (String dataCentre : dataCentres()) {
            if (seenVersionByDataCentre.getOrDefault(dataCentre, 0L) >= version) {
                continue;
            }
            for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
                boolean hasRead =
                        e.getKey().equals(self)
                                || KeyMembership.isExpired(e.getValue(), rules, now)
                                || seenVersion(e.getKey(), e.getValue()) >= version;
                if (!hasRead) {
                    names.add(e.getKey());
                }
            }
        }
        return names;
    }

    /**
     * Returns until when the promises of all members of a data centre allow keyed requests.
     *
     * @param ownExpiry the end to use for this process
     */
    Instant promisedUntil(String dataCentre, Instant ownExpiry, long ringVersion) {
        Instant until = Instant.MAX;
        for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
            Instant end =
                    e.getKey().equals(self)
                            ? ownExpiry
                            : expiryByMember
                                    .getOrDefault(e.getKey(), RingExpiry.NONE)
                                    .forHeldRing(ringVersion);
            until = RingExpiry.earlier(until, end);
        }
        RingExpiry dataCentreExpiry = expiryByDataCentre.getOrDefault(dataCentre, RingExpiry.NONE);
        return RingExpiry.later(until, dataCentreExpiry.forHeldRing(ringVersion));
    }

    /** Returns the version a member has read, which is at least the one with which it joined. */
    private long seenVersion(String id, KeyMembers.Member member) {
        return Math.max(seenVersionByMember.getOrDefault(id, 0L), member.joinedVersion());
    }

    private List<Map.Entry<String, KeyMembers.Member>> membersOf(String dataCentre) {
        return members.members().entrySet().stream()
                .filter(e -> e.getValue().dataCentre().equals(dataCentre))
                .toList();
    }
}
