package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/** Callers that hand in and cancel jobs of many kinds. */
final class SoakLoad {

    private static final double JOBS_PER_SECOND = 3;
    private static final double SURGE_JOBS_PER_SECOND = 25;
    private static final double SURGES_PER_SECOND = 0.06;
    private static final double CANCELLED_SHARE = 0.06;
    private static final double HOPELESS_SHARE = 0.06;
    private static final double GANG_SHARE = 0.1;
    private static final double WIDE_SHARE = 0.06;
    private static final double REPEATING_SHARE = 0.08;
    private static final double SMALL_CUSTOMER_SHARE = 0.05;
    private static final double LIMITED_SHARE = 0.25;
    private static final int MAX_SERVICES = 4;
    private static final int SURGE_MILLIS = 1_500;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final SoakWorld world;
    private final Random random;
    private final Map<String, SoakJob> jobs = new LinkedHashMap<>();
    private long surgeUntil;
    private int services;

    SoakLoad(SoakWorld world) {
        this.world = world;
        this.random = world.random;
    }

    Collection<SoakJob> jobs() {
        return jobs.values();
    }

    /** Hands in what callers send within a short time. */
    void step(int millis) {
        double seconds = (double) millis / MILLIS_PER_SECOND;
        if (random.nextDouble() < SURGES_PER_SECOND * seconds) {
            surgeUntil = world.now() + SURGE_MILLIS;
        }
        double rate = world.now() < surgeUntil ? SURGE_JOBS_PER_SECOND : JOBS_PER_SECOND;
        double due = rate * seconds;
        while (random.nextDouble() < due) {
            due--;
            submit(newJob());
        }
        cancelOne(CANCELLED_SHARE * rate * seconds);
    }

    private SoakJob newJob() {
        String id = String.format("%016x", jobs.size() + 1);
        String queue = "q" + random.nextInt(SoakWorld.HOME_POOLS.size());
        String key = randomKey();
        boolean service = services < MAX_SERVICES && random.nextInt(20) == 0;
        if (service) {
            services++;
            StepSpec step = step(2 + random.nextInt(2), request(1_000), List.of(), false, true);
            return new SoakJob(
                    new JobSpec(id, "payload", List.of(step), Schedule.ONCE),
                    queue,
                    "kc0",
                    0,
                    false);
        }
        boolean hopeless = random.nextDouble() < HOPELESS_SHARE;
        boolean repeats = random.nextDouble() < REPEATING_SHARE;
        Schedule schedule = repeats ? new Schedule(2 + random.nextInt(6), 1, 1) : Schedule.ONCE;
        long taskMillis = 100 + random.nextInt(random.nextInt(10) == 0 ? 2_500 : 700);
        // A run away from its data takes no longer than others do where no step names a rack.
        taskMillis = Math.round(taskMillis / world.remoteFactor);
        JobSpec spec = new JobSpec(id, "payload", steps(repeats), schedule);
        // A gang that is wider than the limit of its customer would wait for ever.
        boolean hasGang = spec.steps().stream().anyMatch(StepSpec::gang);
        return new SoakJob(spec, queue, hasGang ? "kc0" : key, taskMillis, hopeless);
    }

    /** Few jobs are of the customers with limits, or these would wait for themselves. */
    private String randomKey() {
        double share = random.nextDouble();
        if (share < SMALL_CUSTOMER_SHARE) {
            return "kc2";
        }
        return share < LIMITED_SHARE ? "kc1" : "kc0";
    }

    private List<StepSpec> steps(boolean repeats) {
        List<StepSpec> steps = new ArrayList<>();
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            List<Integer> after = i > 0 && random.nextInt(4) > 0 ? List.of(i - 1) : List.of();
            boolean gang = !repeats && random.nextDouble() < GANG_SHARE;
            boolean wide = !gang && !repeats && random.nextDouble() < WIDE_SHARE;
            int tasks = wide ? 20 + random.nextInt(40) : 1 + random.nextInt(4);
            long cores = wide ? 500 : 500 * (1 + random.nextInt(4));
            StepSpec step = step(tasks, request(cores), after, gang, false);
            steps.add(world.remoteFactor > 1 ? withPlace(step) : step);
        }
        return steps;
    }

    /** Lets half of the steps name a rack, some be coupled, and half allow copies. */
    private StepSpec withPlace(StepSpec s) {
        String rack = random.nextBoolean() ? SoakFleet.rackOf(random.nextInt(SoakFleet.RACKS)) : "";
        return new StepSpec(
                s.count(),
                s.request(),
                s.estimatedMillis(),
                s.after(),
                s.gang(),
                random.nextInt(4) == 0,
                s.requiredLabel(),
                rack,
                s.maxPerWorker(),
                random.nextBoolean(),
                s.longRunning(),
                s.image(),
                s.tailTargetMillis(),
                s.fillsSpareCapacity(),
                s.mayMiss(),
                s.checkpointing());
    }

    private static Resources request(long milliCores) {
        return new Resources(milliCores, 100, 0);
    }

    /** Returns a step of which one task may be away if it is a service. */
    static StepSpec step(
            int count, Resources request, List<Integer> after, boolean gang, boolean service) {
        return new StepSpec(
                count,
                request,
                500,
                after,
                gang,
                false,
                "",
                "",
                0,
                false,
                service,
                "",
                0,
                false,
                service ? 1 : 0,
                false);
    }

    /** Hands a job in. */
    void submit(SoakJob job) {
        jobs.put(job.id(), job);
        world.fleet.add(job);
        ask(
                JobRequest.Action.SUBMIT,
                job,
                answer -> {
                    if (answer instanceof JobAnswer.Accepted) {
                        job.accepted();
                    } else if (answer != null && !(answer instanceof JobAnswer.OutcomeUnknown)) {
                        job.refused();
                    }
                });
    }

    private void cancelOne(double probability) {
        if (random.nextDouble() >= probability || jobs.isEmpty() || world.awakeNodes().isEmpty()) {
            return;
        }
        List<SoakJob> all = List.copyOf(jobs.values());
        SoakJob job = all.get(Math.max(0, all.size() - 1 - random.nextInt(10)));
        job.cancelSent();
        ask(JobRequest.Action.CANCEL, job, answer -> {});
    }

    /** Asks a node that is awake, if there is one; a caller gets no answer if the node throws. */
    private void ask(JobRequest.Action action, SoakJob job, Consumer<JobAnswer> then) {
        List<SoakWorld.Node> nodes = world.awakeNodes();
        if (nodes.isEmpty()) {
            return;
        }
        TaskNode node = nodes.get(random.nextInt(nodes.size())).node();
        world.base.schedule(
                Duration.ZERO,
                () -> {
                    try {
                        node.answer(request(action, job))
                                .whenComplete((answer, fault) -> then.accept(answer));
                    } catch (IllegalStateException e) {
                        // The caller gets no answer.
                    }
                });
    }

    static JobRequest request(JobRequest.Action action, SoakJob job) {
        return new JobRequest(
                action,
                SoakWorld.HOST,
                "/" + job.queue() + "/" + job.id(),
                Optional.of(job.key()),
                id -> job.spec());
    }
}
