package org.chervillift.core.claims;

import org.chervillift.api.Checks;

/**
 * The name under which a request is claimed.
 *
 * @param scope the team, or the queue where it is open to all; identifiers of two scopes never meet
 * @param identifier the request identifier of the caller
 */
public record ClaimKey(String scope, String identifier) {

    /** The longest identifier that is accepted, in characters. */
    public static final int MOST_IDENTIFIER_CHARS = 200;

    private static final String TEAM = "team:";
    private static final String OPEN_QUEUE = "open:";

    public ClaimKey {
        Checks.notBlank("scope", scope);
        Checks.notBlank("identifier", identifier);
        Checks.inRange("identifier length", identifier.length(), 1, MOST_IDENTIFIER_CHARS);
    }

    /** Returns the key of a request that a team's key came with. */
    public static ClaimKey ofTeam(String team, String identifier) {
        return new ClaimKey(TEAM + team, identifier);
    }

    /** Returns the key of a request to a queue open to all. */
    public static ClaimKey ofOpenQueue(String queue, String identifier) {
        return new ClaimKey(OPEN_QUEUE + queue, identifier);
    }

    /** Returns one text for the key, different for each key. */
    public String text() {
        return scope.length() + ":" + scope + ":" + identifier;
    }
}
