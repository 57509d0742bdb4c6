package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.WorkerEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that a task of an advised queue starts if a worker can take it and the service allows that,
 * whatever the workers lack that are asked about first.
 */
class AdviceShapesTest {

    private static final Resources LARGE = new Resources(16_000, 32_000, 0);
    private static final Resources SMALL = new Resources(4_000, 8_000, 0);
    private static final long VALIDITY_MILLIS = 5_000;
    private static final long DECISION_MILLIS = 50;
    private static final int MANY = 20;
    private static final int SEEDS = 200;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Set<String> allowed = new HashSet<>();
    private final List<Integer> sizes = new ArrayList<>();
    private final Map<String, StepSpec> steps = new HashMap<>();

    AdviceShapesTest() {
        fixture.advise();
    }

    private void accept(String id, StepSpec step) {
        steps.put(id, step);
        fixture.acceptAdvised(id, step);
    }

    private void add(String id, Resources capacity, String label, String rack) {
        WorkerEntry entry =
                SchedulerFixture.entry(id, 1, "vm-" + id, capacity, List.of(label, rack));
        fixture.scheduler.workerListed(entry, fixture.now);
        keepAlive(id);
        allowed.add(id);
    }

    private void keepAlive(String id) {
        fixture.scheduler.leaseGranted(id, fixture.now + SchedulerFixture.LEASE_MILLIS);
        fixture.report(id);
    }

    private void addLarge(int count) {
        IntStream.range(0, count).forEach(i -> add("large-" + i, LARGE, "a", "r" + i % 4));
    }

    /** Lets time pass with a service that answers one request at a time. */
    private void run(long millis) {
        long until = fixture.now + millis;
        while (fixture.now < until) {
            answerNext();
            fixture.starts();
            fixture.now += DECISION_MILLIS;
            fixture.scheduler.listedWorkers().forEach(w -> keepAlive(w.id()));
        }
    }

    private void answerNext() {
        Optional<AdviceRequest> request = fixture.scheduler.advice().nextRequest(fixture.now);
        request.ifPresent(
                r -> {
                    sizes.add(r.workers().size());
                    Map<String, String> tickets =
                            r.workers().stream()
                                    .filter(allowed::contains)
                                    .collect(Collectors.toMap(w -> w, w -> "t"));
                    fixture.scheduler
                            .advice()
                            .applyAnswer(r, tickets, fixture.now + VALIDITY_MILLIS, fixture.now);
                });
    }

    private long running(String job) {
        return fixture.runningByWorker.values().stream()
                .flatMap(List::stream)
                .filter(r -> r.task().job().equals(job))
                .count();
    }

    /** The workers with the most free cores had no label, and were asked about for ever. */
    @Test
    void aTaskStartsOnTheOnlyWorkerWithItsLabel() {
        addLarge(MANY);
        add("small", SMALL, "gpu", "r1");
        accept("a", service(1).requiredLabel("gpu").build());
        run(1_000);
        assertThat(running("a")).isEqualTo(1);
    }

    /** The workers with the most free cores had their share of the step already. */
    @Test
    void tasksThatMayNotShareWorkersSpreadOverAllOfThem() {
        addLarge(MANY);
        accept("a", service(MANY).maxPerWorker(1).build());
        run(3_000);
        assertThat(running("a")).isEqualTo(MANY);
    }

    @Test
    void aTaskStartsOnTheOnlyWorkerWithTheAcceleratorThatItNeeds() {
        addLarge(MANY);
        add("small", new Resources(4_000, 8_000, 1), "a", "r1");
        accept("a", service(1).request(new Resources(1_000, 100, 1)).build());
        run(1_000);
        assertThat(running("a")).isEqualTo(1);
    }

    /** Workers with many free cores had no memory left. */
    @Test
    void aTaskStartsOnTheOnlyWorkerWithRoom() {
        IntStream.range(0, MANY)
                .forEach(i -> add("l" + i, new Resources(64_000, 1_000, 0), "a", "r1"));
        add("small", SMALL, "a", "r1");
        accept("a", service(1).request(new Resources(1_000, 4_000, 0)).build());
        run(1_000);
        assertThat(running("a")).isEqualTo(1);
    }

    @Test
    void aTaskStartsOnTheOnlyWorkerThatTheServiceAllows() {
        addLarge(MANY);
        add("small", SMALL, "a", "r1");
        allowed.clear();
        allowed.add("small");
        accept("a", service(1).build());
        run(1_000);
        assertThat(running("a")).isEqualTo(1);
    }

    /** A worker that was not allowed stayed so under its identifier, with another label. */
    @Test
    void aWorkerThatWasNotAllowedIsAskedAboutAgainInItsNextLifetime() {
        add("only", SMALL, "a", "r1");
        allowed.clear();
        accept("a", service(1).build());
        run(500);
        assertThat(running("a")).isZero();
        allowed.add("only");
        fixture.scheduler.workerListed(
                SchedulerFixture.entry("only", 2, "vm-only", SMALL, List.of("a", "r1")),
                fixture.now);
        run(500);
        assertThat(running("a")).isEqualTo(1);
    }

    /** A job that waited for room kept the service from another one that could start. */
    @Test
    void aJobThatCannotStartDoesNotKeepTheServiceFromOneThatCan() {
        addLarge(MANY);
        accept("full", service(MANY).request(LARGE).build());
        run(3_000);
        assertThat(running("full")).isEqualTo(MANY);
        for (int i = 0; i < MANY; i++) {
            accept("waits-" + i, service(MANY).request(LARGE).build());
        }
        add("small", SMALL, "a", "r1");
        accept("a", service(1).build());
        answerNext();
        fixture.starts();
        answerNext();
        fixture.starts();
        assertThat(running("a")).isEqualTo(1);
    }

    /** A job that waits for room must not take up the service with the same questions. */
    @Test
    void aJobThatWaitsForRoomIsAskedAboutOnceForEachValidity() {
        addLarge(MANY);
        accept("full", service(MANY).request(LARGE).build());
        run(3_000);
        sizes.clear();
        accept("waits", service(1).request(LARGE).build());
        run(3 * VALIDITY_MILLIS);
        assertThat(sizes).hasSizeBetween(1, 4);
    }

    /** The tickets of a gang ran out before it had all of them. */
    @Test
    void aLargeGangAsksForAllItsTicketsTogether() {
        IntStream.range(0, 60).forEach(i -> add("w" + i, SMALL, "a", "r1"));
        accept("a", new StepSpecBuilder().count(60).gang(true).maxPerWorker(1).build());
        assertThat(fixture.starts()).isEmpty();
        answerNext();
        assertThat(fixture.starts()).hasSize(60);
        assertThat(sizes).containsExactly(60);
    }

    /** A ticket that was valid for less than the reserve was never used. */
    @Test
    void ticketsOfAShortValidityAreUsed() {
        add("w", SMALL, "a", "r1");
        accept("a", service(1).build());
        assertThat(fixture.starts()).isEmpty();
        AdviceRequest request = fixture.scheduler.advice().nextRequest(fixture.now).orElseThrow();
        fixture.scheduler
                .advice()
                .applyAnswer(request, Map.of("w", "t"), fixture.now + 200, fixture.now);
        fixture.now += 20;
        assertThat(fixture.starts()).hasSize(1);
    }

    /** A worker was drained only once the deadline of its wave was at risk. */
    @Test
    void tasksThatMustLeaveTheirWorkerGetTicketsForOthers() {
        add("w1", SMALL, "a", "r1");
        accept("a", service(1).build());
        run(200);
        add("w2", SMALL, "a", "r1");
        run(VALIDITY_MILLIS);
        fixture.scheduler.setCordoned("w1", true);
        for (int i = 0; i < 10; i++) {
            fixture.scheduler.drain("w1", false, fixture.now);
            run(200);
        }
        assertThat(fixture.runningByWorker.get("w2")).hasSize(1);
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, SEEDS);
    }

    /** Draws pools, steps and policies; whatever could start has started after a while. */
    @ParameterizedTest
    @MethodSource("seeds")
    void whatCouldStartStarts(int seed) {
        Random random = new Random(seed);
        int workers = 14 + random.nextInt(20);
        for (int i = 0; i < workers; i++) {
            Resources capacity =
                    new Resources(
                            2_000 + 2_000L * random.nextInt(8),
                            4_000 + 4_000L * random.nextInt(4),
                            random.nextInt(4) == 0 ? 1 : 0);
            add("w" + i, capacity, random.nextInt(4) == 0 ? "b" : "a", "r" + random.nextInt(4));
        }
        allowed.removeIf(w -> random.nextInt(3) == 0);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            jobs.add("j" + i);
            accept("j" + i, randomService(random));
            run(200 + random.nextInt(1_000));
            if (random.nextInt(2) == 0) {
                crashSomeTask(random);
            }
        }
        run(6_000);
        jobs.forEach(this::assertThatNothingCouldStart);
    }

    private void crashSomeTask(Random random) {
        List<String> busy =
                fixture.runningByWorker.entrySet().stream()
                        .filter(e -> !e.getValue().isEmpty())
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        if (!busy.isEmpty()) {
            String worker = busy.get(random.nextInt(busy.size()));
            fixture.end(
                    worker, fixture.runningByWorker.get(worker).getFirst().task(), RunEnd.FAILED);
        }
    }

    private StepSpec randomService(Random random) {
        long milliCores = 1_000 + 1_000L * random.nextInt(4);
        int gpus = random.nextInt(5) == 0 ? 1 : 0;
        return service(1 + random.nextInt(6))
                .request(new Resources(milliCores, 1_000 + 1_000L * random.nextInt(4), gpus))
                .requiredLabel(random.nextInt(3) == 0 ? "b" : "")
                .maxPerWorker(random.nextInt(2))
                .build();
    }

    /** Checks from outside that no worker has room that a missing task of a job may use. */
    private void assertThatNothingCouldStart(String job) {
        StepSpec step = steps.get(job);
        if (running(job) == step.count()) {
            return;
        }
        assertThat(fixture.scheduler.listedWorkers())
                .as("job %s, %d of %d run, %s", job, running(job), step.count(), step)
                .noneMatch(w -> couldTake(w, job, step));
    }

    private boolean couldTake(WorkerEntry worker, String job, StepSpec step) {
        var runs = fixture.runningByWorker.getOrDefault(worker.id(), List.of());
        Resources used =
                runs.stream()
                        .map(r -> steps.get(r.task().job()))
                        .map(StepSpec::request)
                        .reduce(Resources.NONE, Resources::plus);
        long own = runs.stream().filter(r -> r.task().job().equals(job)).count();
        return allowed.contains(worker.id())
                && used.plus(step.request()).fitsIn(worker.capacity())
                && (step.requiredLabel().isEmpty()
                        || worker.labels().contains(step.requiredLabel()))
                && (step.maxPerWorker() == 0 || own < step.maxPerWorker());
    }

    private static StepSpecBuilder service(int count) {
        return new StepSpecBuilder().count(count).longRunning(true);
    }
}
