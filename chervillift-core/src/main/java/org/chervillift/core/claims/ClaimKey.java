package org.chervillift.core.claims;

import org.chervillift.api.Checks;

/**
 * The key of a claim: a request identifier within its scope.
 *
 * @param scope the team, or the queue if it is open to all; equal identifiers in different scopes
 *     are different keys
 * @param identifier the request identifier set by the caller
 */
public record ClaimKey(String scope, String identifier) {

    /** The maximum length of an identifier, in characters. */
    public static final int MAX_IDENTIFIER_LENGTH = 200;

    private static final String TEAM_PREFIX = "team:";
    private static final String OPEN_QUEUE_PREFIX = "open:";

    public ClaimKey {
        Checks.notBlank("scope", scope);
        Checks.notBlank("identifier", identifier);
        Checks.inRange("identifier length", identifier.length(), 1, MAX_IDENTIFIER_LENGTH);
    }

    /** Returns the key of a request that was authenticated with a team's key. */
    public static ClaimKey ofTeam(String team, String identifier) {
        return new ClaimKey(TEAM_PREFIX + team, identifier);
    }

    /** Returns the key of a request without a team to a queue that is open to all. */
    public static ClaimKey ofOpenQueue(String queue, String identifier) {
        return new ClaimKey(OPEN_QUEUE_PREFIX + queue, identifier);
    }

    /** Returns the key as a text; different keys have different texts. */
    public String uniqueText() {
        return scope.length() + ":" + scope + ":" + identifier;
    }
}
