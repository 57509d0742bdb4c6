package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A key that is in force for a team; the key itself is kept nowhere.
 *
 * @param id short public identifier, which operators name when they withdraw the key
 * @param team the team that the key stands for
 * @param sha256 the SHA-256 of the key, as 64 lower-case hexadecimal digits
 */
public record KeyGrant(String id, String team, String sha256) {
    public KeyGrant {
        Checks.notBlank("id", id);
        Checks.notBlank("team", team);
        Checks.that(sha256.matches("[0-9a-f]{64}"), "sha256 must be 64 hexadecimal digits");
    }
}
