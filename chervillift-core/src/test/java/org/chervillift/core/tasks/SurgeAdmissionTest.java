package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.core.tasks.admission.AdmissionPolicy;
import org.chervillift.core.tasks.admission.FleetFigures;
import org.chervillift.core.tasks.admission.PoolRates;
import org.chervillift.core.tasks.admission.PublishedFigures;
import org.chervillift.core.tasks.admission.Rejection;
import org.chervillift.core.tasks.admission.StartForecaster;
import org.junit.jupiter.api.Test;

/**
 * Replays surges of 8 s on a pool that serves 8 jobs a second, with and without admission: one of
 * an urgent queue, whose jobs stay on time for 30 s, and one of another queue.
 */
class SurgeAdmissionTest {

    private static final int STEP_MILLIS = 25;
    private static final int SURGE_MILLIS = 8_000;
    private static final int END_MILLIS = 14_000;
    private static final int RUN_MILLIS = 500;
    private static final int FIGURES_MILLIS = 500;

    /** Three objectives of 1,400 ms: 600 ms and 1.6 times the run time. */
    private static final long VALUABLE_MILLIS = 4_200;

    private static final QueuePolicy URGENT =
            new QueuePolicy("urgent", SchedulerFixture.POOL, 0, 2, 1, 30_000, false);
    private static final QueuePolicy LATER =
            new QueuePolicy("later", SchedulerFixture.POOL, 1, 2, 1.6, 600, false);
    private static final Manifest MANIFEST =
            Manifest.of(
                    2,
                    List.of(
                            new QueueRoute("h", "/u/", true, URGENT),
                            new QueueRoute("h", "/l/", true, LATER)),
                    List.of(),
                    List.of(),
                    1_000);

    /** What came of the callers of one replay. */
    private static final class Replay {
        private final SchedulerFixture fixture = new SchedulerFixture();
        private final boolean admits;
        private final Map<String, Long> handedInAt = new HashMap<>();
        private final Map<String, Long> waits = new HashMap<>();
        private final Map<String, Rejection.Later> rejected = new HashMap<>();
        private final Map<TaskId, Long> endsAt = new HashMap<>();
        private PublishedFigures published = PublishedFigures.NONE;

        Replay(int jobsPerStep, int stepsPerUrgentJob, boolean admits) {
            this.admits = admits;
            fixture.scheduler.configure(MANIFEST);
            fixture.addWorker("w", 4_000);
            long start = fixture.now;
            for (int millis = 0; millis < END_MILLIS; millis += STEP_MILLIS) {
                fixture.now = start + millis;
                if (millis % FIGURES_MILLIS == 0) {
                    published = new PublishedFigures(figures(), fixture.now);
                }
                for (int i = 0; millis < SURGE_MILLIS && i < jobsPerStep; i++) {
                    handIn(String.format("%08x%08x", i, millis), LATER);
                }
                if (millis < SURGE_MILLIS && millis / STEP_MILLIS % stepsPerUrgentJob == 0) {
                    handIn(String.format("f%015x", millis), URGENT);
                }
                step();
            }
        }

        private FleetFigures figures() {
            long now = fixture.now;
            Backlog backlog = fixture.scheduler.backlog();
            Map<String, Long> rates =
                    PoolRates.highest(
                            List.of(),
                            fixture.scheduler.poolLoads(now),
                            Set.of(),
                            backlog.finishedMilliCores(now));
            return new FleetFigures(
                    List.of(), StartForecaster.forecast(MANIFEST, rates, backlog.waitingWork(now)));
        }

        private void handIn(String id, QueuePolicy queue) {
            JobSpec spec =
                    new JobSpec(
                            id,
                            "p",
                            List.of(SchedulerFixture.estimatedStep(1_000, RUN_MILLIS)),
                            Schedule.ONCE);
            handedInAt.put(id, fixture.now);
            Optional<Rejection> rejection =
                    AdmissionPolicy.decide(spec, queue, Resources.NONE, published, fixture.now);
            if (admits && rejection.isPresent()) {
                rejected.put(id, (Rejection.Later) rejection.get());
            } else {
                AcceptedJob job = new AcceptedJob(spec, queue, "", 0);
                fixture.scheduler.accept(job, 0, fixture.now);
            }
        }

        private void step() {
            List<TaskId> ended = new ArrayList<>();
            endsAt.forEach(
                    (task, at) -> {
                        if (at <= fixture.now) {
                            ended.add(task);
                        }
                    });
            ended.forEach(t -> fixture.end("w", t, RunEnd.DONE));
            endsAt.keySet().removeAll(ended);
            fixture.report("w");
            fixture.scheduler.leaseGranted("w", fixture.now + SchedulerFixture.LEASE_MILLIS);
            for (Order.Start start : fixture.starts()) {
                endsAt.put(start.task(), fixture.now + RUN_MILLIS);
                String job = start.task().job();
                waits.putIfAbsent(job, fixture.now - handedInAt.get(job));
            }
        }

        private boolean isValuable(String job) {
            return waits.getOrDefault(job, Long.MAX_VALUE) <= VALUABLE_MILLIS;
        }

        private long countValuable() {
            return waits.keySet().stream().filter(this::isValuable).count();
        }
    }

    /** Most jobs of the less urgent queue were accepted, and started when they had no value. */
    @Test
    void jobsThatASurgeLeavesNoTimeForAreToldAtOnceAndNoOthers() {
        Replay without = new Replay(1, 2, false);
        Replay with = new Replay(1, 2, true);
        assertThat(with.rejected).hasSizeGreaterThan(100);
        assertThat(with.rejected.keySet()).noneMatch(without::isValuable);
        assertThat(with.rejected.keySet()).allMatch(id -> id.startsWith("0"));
        assertThat(with.countValuable()).isGreaterThanOrEqualTo(without.countValuable());
        Set<Rejection.Later> times = new HashSet<>(with.rejected.values());
        assertThat(times).as("callers do not come back together").hasSizeGreaterThan(1);
    }

    /** The less urgent queue alone has ten times what the pool works off: any may be served. */
    @Test
    void noJobIsRejectedThatOnlyJobsOfItsOwnQueueKeepWaiting() {
        Replay with = new Replay(2, Integer.MAX_VALUE, true);
        assertThat(with.rejected).isEmpty();
        assertThat(with.waits).isEqualTo(new Replay(2, Integer.MAX_VALUE, false).waits);
    }
}
