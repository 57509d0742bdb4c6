package org.chervillift.core.keys;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.config.KeyMembers;

/** Computes the next version of the list of processes that may acknowledge a withdrawal. */
public final class KeyMembership {

    private KeyMembership() {}

    /** Returns the members after a process has joined, which it does after each start. */
    public static KeyMembers join(
            KeyMembers members,
            String self,
            String dataCentre,
            FreshnessRules rules,
            Instant wallClockNow) {
        long next = members.version() + 1;
        Map<String, KeyMembers.Member> remaining = withoutExpired(members, rules, wallClockNow);
        remaining.put(self, new KeyMembers.Member(dataCentre, next, wallClockNow.toEpochMilli()));
        return new KeyMembers(next, remaining);
    }

    /** Returns the members after a member has renewed its membership. */
    public static KeyMembers renew(
            KeyMembers members, String self, FreshnessRules rules, Instant wallClockNow) {
        Map<String, KeyMembers.Member> remaining = withoutExpired(members, rules, wallClockNow);
        KeyMembers.Member own = members.members().get(self);
        if (own != null) {
            KeyMembers.Member renewedMember =
                    new KeyMembers.Member(
                            own.dataCentre(), own.joinedVersion(), wallClockNow.toEpochMilli());
            remaining.put(self, renewedMember);
        }
        return new KeyMembers(members.version() + 1, remaining);
    }

    /** Returns the members after a member has left. */
    public static KeyMembers leave(KeyMembers members, String self) {
        Map<String, KeyMembers.Member> remaining = new HashMap<>(members.members());
        remaining.remove(self);
        return new KeyMembers(members.version() + 1, remaining);
    }

    /**
     * Returns whether a member can no longer rely on promises because its membership has expired.
     */
    static boolean isExpired(KeyMembers.Member member, FreshnessRules rules, Instant wallClockNow) {
        Instant end =
                Instant.ofEpochMilli(member.renewedAtMillis())
                        .plus(rules.membershipLease())
                        .plus(rules.maxWallClockSkew());
        return end.isBefore(wallClockNow);
    }

    private static Map<String, KeyMembers.Member> withoutExpired(
            KeyMembers members, FreshnessRules rules, Instant wallClockNow) {
        Map<String, KeyMembers.Member> remaining = new HashMap<>(members.members());
        remaining.values().removeIf(m -> isExpired(m, rules, wallClockNow));
        return remaining;
    }
}
