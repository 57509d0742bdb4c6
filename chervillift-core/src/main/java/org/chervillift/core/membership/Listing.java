package org.chervillift.core.membership;

/** What the platform's latest list says of a member. */
public enum Listing {
    /** It does not show it. */
    ABSENT,
    /** It shows it. */
    PRESENT,
    /** It shows it as leaving. */
    LEAVING
}
