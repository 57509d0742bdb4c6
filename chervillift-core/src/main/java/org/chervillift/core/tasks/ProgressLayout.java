package org.chervillift.core.tasks;

/** How the progress of a job is stored. */
enum ProgressLayout {
    /** In one row. */
    ONE_ROW,
    /** In one row, as it was before; the parts that will replace it are being stored. */
    MOVING_TO_PARTS,
    /** In parts, each in a row of its own, beside a row for the job. */
    PARTS
}
