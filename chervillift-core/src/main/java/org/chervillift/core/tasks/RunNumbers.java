package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * The numbers that a holder gives to runs, and those that any holder so far can have given.
 *
 * <p>Each term begins at a multiple of its number, so that a holder gives no number that an earlier
 * one gave, of which it may not know. A task that is refused often may use more numbers in a long
 * term than the next one begins at.
 *
 * @param term the term of the holder
 */
record RunNumbers(long term) {

    private static final int NUMBERS_PER_TERM = 1_000;

    /** The most numbers that a task is assumed to use beyond those of a term. */
    private static final int MAX_NUMBERS_BEYOND_TERM = 100_000_000;

    /** The highest number at which a term begins; far from the largest int. */
    private static final int MAX_FIRST = 1_000_000_000;

    RunNumbers {
        Checks.inRange("term", term, 1, Integer.MAX_VALUE);
    }

    private int first() {
        return (int) Math.min((term - 1) * NUMBERS_PER_TERM + 1, MAX_FIRST);
    }

    /** Returns the highest number that this holder, or an earlier one, may have given. */
    int highest() {
        return first() + NUMBERS_PER_TERM + MAX_NUMBERS_BEYOND_TERM;
    }

    /** Returns whether this holder, or an earlier one, may have given a number. */
    boolean mayBeGiven(int number) {
        return number >= 1 && number <= highest();
    }

    /** Returns the number of a task's next run. */
    int next(TaskEntry task) {
        return Math.max(task.lastRunNumber() + 1, first());
    }
}
