package org.chervillift.core.membership;

/** The way in which this process gets news of a member. */
public enum HeardVia {
    /** None. */
    NONE,
    /** From a peer in the data centre of this process. */
    SAME_DATA_CENTRE_PEER,
    /** From a peer in another data centre. */
    OTHER_DATA_CENTRE_PEER,
    /** Over a link to the member. */
    DIRECT_LINK
}
