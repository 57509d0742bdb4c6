package org.chervillift.core.membership;

/** The kinds of content that processes fetch from the store or from each other. */
public enum ContentKind {
    /** The configuration. */
    CONFIG,
    /** The key ring. */
    KEY_RING
}
