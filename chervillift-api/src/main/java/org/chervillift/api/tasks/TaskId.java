package org.chervillift.api.tasks;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * The name of a task.
 *
 * @param job the job's identifier
 * @param occurrence which run of the job's steps, counted from 0
 * @param step the step, counted from 0
 * @param index the task within the step, counted from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

    private static final int PARTS = 4;

    public TaskId {
        Checks.notBlank("job", job);
        Checks.notNegative("occurrence", occurrence);
        Checks.notNegative("step", step);
        Checks.notNegative("index", index);
    }

    /** Reads the text form; returns empty for a text that names no task. */
    public static Optional<TaskId> parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new TaskId(
                            parts[0],
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
