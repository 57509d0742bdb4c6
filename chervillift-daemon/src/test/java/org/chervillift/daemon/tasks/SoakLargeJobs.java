package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/** Jobs whose sizes are drawn around what fits in a row of the store, and beyond. */
final class SoakLargeJobs {

    private static final String KEY = "kc0";
    private static final Resources REQUEST = new Resources(1, 1, 0);
    private static final int JOBS = 3;
    private static final int FIRST_ID = 0xa0000;

    /** Numbers of tasks, a little fewer or more of which fit in a row or in a limit. */
    private static final List<Integer> TASKS = List.of(16, 180, 430, 690, 1_000, 1_100, 1_600);

    private static final int MAX_STEPS = 60;
    private static final int MAX_TASKS_OF_A_STEP = 8;
    private static final int MAX_OCCURRENCES = 60;
    private static final int MAX_INTERVAL_MILLIS = 500;
    private static final int MIN_TASK_MILLIS = 200;
    private static final int MAX_WIDE_TASK_MILLIS = 5_000;
    private static final int MAX_CHAIN_MILLIS = 15_000;

    private final Random random;
    private final long wallMillis;
    private final List<String> sizes = new ArrayList<>();

    /**
     * Creates a generator.
     *
     * @param wallMillis the time of day of the first occurrences, in milliseconds since 1970 UTC
     */
    SoakLargeJobs(Random random, long wallMillis) {
        this.random = random;
        this.wallMillis = wallMillis;
    }

    List<String> sizes() {
        return sizes;
    }

    List<SoakJob> draw() {
        List<SoakJob> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", FIRST_ID + i);
            String queue = "q" + i;
            jobs.add(
                    switch (random.nextInt(4)) {
                        case 0, 1 -> wide(id, queue);
                        case 2 -> repeating(id, queue);
                        default -> service(id, queue);
                    });
        }
        return jobs;
    }

    private int aroundALimit() {
        int limit = TASKS.get(random.nextInt(TASKS.size()));
        return limit - limit / 10 + random.nextInt(limit / 5 + 1);
    }

    private SoakJob wide(String id, String queue) {
        int tasks = aroundALimit();
        int failures = random.nextInt(SoakWorld.MAX_ATTEMPTS);
        long taskMillis = MIN_TASK_MILLIS + random.nextInt(MAX_WIDE_TASK_MILLIS);
        sizes.add(id + " wide tasks=" + tasks + " failures=" + failures);
        JobSpec spec = new JobSpec(id, "p", List.of(step(tasks, List.of(), false)), Schedule.ONCE);
        return new SoakJob(spec, queue, KEY, taskMillis, false).failingFirst(failures);
    }

    private SoakJob repeating(String id, String queue) {
        int count = 1 + random.nextInt(MAX_STEPS);
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
            steps.add(step(1 + random.nextInt(MAX_TASKS_OF_A_STEP), after, false));
        }
        int occurrences = 1 + random.nextInt(MAX_OCCURRENCES);
        int interval = 1 + random.nextInt(MAX_INTERVAL_MILLIS);
        sizes.add(id + " steps=" + count + " occurrences=" + occurrences + " every=" + interval);
        JobSpec spec = new JobSpec(id, "p", steps, new Schedule(occurrences, wallMillis, interval));
        long taskMillis = MIN_TASK_MILLIS + random.nextInt(MAX_CHAIN_MILLIS / count);
        return new SoakJob(spec, queue, KEY, taskMillis, false);
    }

    private SoakJob service(String id, String queue) {
        int tasks = aroundALimit();
        sizes.add(id + " service tasks=" + tasks);
        JobSpec spec = new JobSpec(id, "p", List.of(step(tasks, List.of(), true)), Schedule.ONCE);
        return new SoakJob(spec, queue, KEY, 0, false);
    }

    private static StepSpec step(int count, List<Integer> after, boolean service) {
        return SoakLoad.step(count, REQUEST, after, false, service);
    }
}
