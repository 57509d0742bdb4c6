package org.chervillift.api.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.Checks;

/**
 * The processes that may answer a withdrawal of a key.
 *
 * @param version grows by one with each join, renewal and leaving
 * @param members the members by the identifier of their VM
 */
public record KeyMembers(long version, Map<String, Member> members) {

    /** The members before the first join. */
    public static final KeyMembers EMPTY = new KeyMembers(0, Map.of());

    public KeyMembers {
        Checks.notNegative("version", version);
        members = Collections.unmodifiableMap(new TreeMap<>(members));
    }

    /**
     * One member.
     *
     * @param dataCentre the data centre that it stands in
     * @param joinedVersion the version of the members at which it joined last
     * @param renewedAtMillis when it last said that it is there, by its own clock, in milliseconds
     *     since 1970 UTC
     */
    public record Member(String dataCentre, long joinedVersion, long renewedAtMillis) {
        public Member {
            Checks.notBlank("dataCentre", dataCentre);
            Checks.notNegative("joinedVersion", joinedVersion);
            Checks.notNegative("renewedAtMillis", renewedAtMillis);
        }
    }
}
