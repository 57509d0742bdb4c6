package org.chervillift.standin.tasks;

/** What ails the store in memory. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** It refuses all calls. */
    DOWN,
    /** It answers no call and does nothing. */
    SILENT,
    /** It carries out commits and does not answer them. */
    LOSE_REPLIES,
    /** It does not know its history any more. */
    FORGETFUL
}
