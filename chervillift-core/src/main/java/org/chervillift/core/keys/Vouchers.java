package org.chervillift.core.keys;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.chervillift.api.config.KeyMembers;

/**
 * What one process knows of the members that may answer a withdrawal: whom each knows, and what
 * each has promised. Members that it does not hear itself it knows by data centre only.
 */
final class Vouchers {

    private final String self;
    private final FreshnessRules rules;
    private final Map<String, Long> seen = new HashMap<>();
    private final Map<String, Horizon> promised = new HashMap<>();
    private final Map<String, Long> groupSeen = new HashMap<>();
    private final Map<String, Horizon> groupPromised = new HashMap<>();
    private KeyMembers members = KeyMembers.EMPTY;

    Vouchers(String self, FreshnessRules rules) {
        this.self = self;
        this.rules = rules;
    }

    KeyMembers members() {
        return members;
    }

    /** Takes a later list; what an earlier life of a member promised for good counts no more. */
    void read(KeyMembers later) {
        if (later.version() <= members.version()) {
            return;
        }
        later.members()
                .forEach(
                        (id, member) -> {
                            KeyMembers.Member before = members.members().get(id);
                            boolean sameLife =
                                    before != null
                                            && before.joinedVersion() == member.joinedVersion();
                            if (!sameLife) {
                                promised.remove(id);
                            }
                        });
        members = later;
    }

    void hasSeen(String member, long membersVersion) {
        seen.merge(member, membersVersion, Math::max);
    }

    void hasPromised(String member, Horizon horizon) {
        promised.merge(member, horizon, Horizon::latest);
    }

    void groupHasSeen(String dataCentre, long membersVersion) {
        groupSeen.merge(dataCentre, membersVersion, Math::max);
    }

    void groupHasPromised(String dataCentre, Horizon horizon) {
        groupPromised.merge(dataCentre, horizon, Horizon::latest);
    }

    TreeSet<String> dataCentres() {
        TreeSet<String> names = new TreeSet<>();
        members.members().values().forEach(m -> names.add(m.dataCentre()));
        return names;
    }

    /**
     * Returns the version that every member of a data centre has read.
     *
     * @param own the version that this process counts for itself
     */
    long seenByAll(String dataCentre, long own, Instant now) {
        long least = Long.MAX_VALUE;
        for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
            if (e.getKey().equals(self)) {
                least = Math.min(least, own);
            } else if (!KeyMembership.expired(e.getValue(), rules, now)) {
                least = Math.min(least, seenBy(e.getKey(), e.getValue()));
            }
        }
        long direct = Math.min(least, members.version());
        return Math.max(direct, groupSeen.getOrDefault(dataCentre, 0L));
    }

    /** Returns the members, but for this process, that may not have read a version. */
    List<String> missing(long version, Instant now) {
        List<String> names = new ArrayList<>();
        for (String dataCentre : dataCentres()) {
            if (groupSeen.getOrDefault(dataCentre, 0L) >= version) {
                continue;
            }
            for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
                boolean knows =
                        e.getKey().equals(self)
                                || KeyMembership.expired(e.getValue(), rules, now)
                                || seenBy(e.getKey(), e.getValue()) >= version;
                if (!knows) {
                    names.add(e.getKey());
                }
            }
        }
        return names;
    }

    /**
     * Returns how long the promises of all members of a data centre allow keyed work.
     *
     * @param own the end that this process counts for itself
     */
    Instant promisedByAll(String dataCentre, Instant own, long ringVersion) {
        Instant until = Instant.MAX;
        for (Map.Entry<String, KeyMembers.Member> e : membersOf(dataCentre)) {
            Instant end =
                    e.getKey().equals(self)
                            ? own
                            : promised.getOrDefault(e.getKey(), Horizon.NONE).under(ringVersion);
            until = Horizon.earlier(until, end);
        }
        Horizon group = groupPromised.getOrDefault(dataCentre, Horizon.NONE);
        return Horizon.later(until, group.under(ringVersion));
    }

    /** A member that joined after a version was written has read that version. */
    private long seenBy(String id, KeyMembers.Member member) {
        return Math.max(seen.getOrDefault(id, 0L), member.joinedVersion());
    }

    private List<Map.Entry<String, KeyMembers.Member>> membersOf(String dataCentre) {
        return members.members().entrySet().stream()
                .filter(e -> e.getValue().dataCentre().equals(dataCentre))
                .toList();
    }
}
