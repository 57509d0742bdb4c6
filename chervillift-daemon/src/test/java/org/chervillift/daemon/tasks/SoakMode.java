package org.chervillift.daemon.tasks;

/** How a worker answers calls. */
enum SoakMode {
    /** At once. */
    NORMAL,
    /** Not at all, and it carries nothing out. */
    SILENT,
    /** After 300 ms. */
    SLOW,
    /** It resets connections. */
    RESETTING,
    /** It carries orders out much later, and does not answer them. */
    LATE
}
