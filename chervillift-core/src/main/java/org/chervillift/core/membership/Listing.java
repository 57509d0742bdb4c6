package org.chervillift.core.membership;

/** What the platform's latest list says of a member. */
public enum Listing {
    /** The member is not on the list. */
    ABSENT,
    /** The member is on the list. */
    PRESENT,
    /** The member is on the list, marked as leaving. */
    LEAVING
}
