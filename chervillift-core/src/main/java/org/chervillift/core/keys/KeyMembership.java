package org.chervillift.core.keys;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.config.KeyMembers;

/** Works out the next list of the processes that may answer a withdrawal. */
public final class KeyMembership {

    private KeyMembership() {}

    /** Returns the members after a process has joined; a process joins in each of its lives. */
    public static KeyMembers join(
            KeyMembers members,
            String self,
            String dataCentre,
            FreshnessRules rules,
            Instant wallNow) {
        long next = members.version() + 1;
        Map<String, KeyMembers.Member> kept = withoutExpired(members, rules, wallNow);
        kept.put(self, new KeyMembers.Member(dataCentre, next, wallNow.toEpochMilli()));
        return new KeyMembers(next, kept);
    }

    /** Returns the members after a member has said that it is still there. */
    public static KeyMembers renew(
            KeyMembers members, String self, FreshnessRules rules, Instant wallNow) {
        Map<String, KeyMembers.Member> kept = withoutExpired(members, rules, wallNow);
        KeyMembers.Member own = members.members().get(self);
        if (own != null) {
            KeyMembers.Member renewed =
                    new KeyMembers.Member(
                            own.dataCentre(), own.joinedVersion(), wallNow.toEpochMilli());
            kept.put(self, renewed);
        }
        return new KeyMembers(members.version() + 1, kept);
    }

    /** Returns the members after a member has left. */
    public static KeyMembers leave(KeyMembers members, String self) {
        Map<String, KeyMembers.Member> kept = new HashMap<>(members.members());
        kept.remove(self);
        return new KeyMembers(members.version() + 1, kept);
    }

    /** Returns whether a member relies on promises no more, whatever it has heard. */
    static boolean expired(KeyMembers.Member member, FreshnessRules rules, Instant wallNow) {
        Instant end =
                Instant.ofEpochMilli(member.renewedAtMillis())
                        .plus(rules.longestVouching())
                        .plus(rules.wallClockError());
        return end.isBefore(wallNow);
    }

    private static Map<String, KeyMembers.Member> withoutExpired(
            KeyMembers members, FreshnessRules rules, Instant wallNow) {
        Map<String, KeyMembers.Member> kept = new HashMap<>(members.members());
        kept.values().removeIf(m -> expired(m, rules, wallNow));
        return kept;
    }
}
