package org.chervillift.core.tasks;

/**
 * Estimates how often workers crash by chance under a task, from the tasks that are done: they do
 * not crash their workers, so the crashes under them have other causes.
 *
 * <p>A few crashes in a row point to a task only where crashes are rare. Where many orders to start
 * meet a crash, some tasks of a day meet several one after the other.
 */
final class CrashRate {

    /** Chance may bring less than one of this many tasks to the number of crashes returned. */
    private static final double TASKS = 10_000;

    /** The attempts from which on older ones count half. */
    private static final double WINDOW_ATTEMPTS = 2_000;

    /** What counts before any task is done: few crashes, and soon outweighed. */
    private static final double PRIOR_ATTEMPTS = 10;

    private static final double PRIOR_CRASHES = 0.1;

    private double attempts;
    private double crashes;

    /**
     * Records that a task is done.
     *
     * @param crashesBefore the workers that crashed under it before, or may have
     * @param share the shares of these crashes that fall to the task, in sum: a crash is shared by
     *     all runs that it ended, one of which may have caused it
     */
    void recordDone(int crashesBefore, double share) {
        attempts += crashesBefore + 1;
        crashes += share;
        if (attempts > WINDOW_ATTEMPTS) {
            attempts /= 2;
            crashes /= 2;
        }
    }

    /** Returns how many crashes in a row chance brings to less than one task of a day. */
    int crashesBeyondChance() {
        double rate = (crashes + PRIOR_CRASHES) / (attempts + PRIOR_ATTEMPTS);
        return (int) Math.ceil(Math.log(TASKS) / -Math.log(rate));
    }
}
