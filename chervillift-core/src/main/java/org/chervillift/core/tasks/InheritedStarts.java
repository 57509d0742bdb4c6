package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.chervillift.api.tasks.RunReport;

/**
 * The starts of suspect tasks that an earlier holder stored, until their workers' fates are known.
 *
 * <p>A holder may be lost before it learns that a worker has crashed under such a run. Its
 * successor counts the crash when that lifetime of the worker turns out to have ended.
 */
final class InheritedStarts {

    /** A crash that no holder saw: which other runs the worker had is not known. */
    private static final Run.Crash NOT_SEEN = new Run.Crash(false, 0);

    private final JobLifecycle lifecycle;
    private final Consumer<SchedulerEvent> events;
    private final Map<String, List<InheritedStart>> startsByWorker = new HashMap<>();

    /** A stored start of a task. */
    private record InheritedStart(TaskEntry task, JobProgress.StartedRun run) {}

    InheritedStarts(JobLifecycle lifecycle, Consumer<SchedulerEvent> events) {
        this.lifecycle = lifecycle;
        this.events = events;
    }

    void add(TaskEntry task, JobProgress.StartedRun run) {
        startsByWorker
                .computeIfAbsent(run.worker(), w -> new ArrayList<>())
                .add(new InheritedStart(task, run));
    }

    /** Counts the runs that a worker took with it in an earlier lifetime; it tells the others. */
    void workerReported(String workerId, RunReport report, long now) {
        for (InheritedStart start : remove(workerId)) {
            long bornBefore = start.run().bornAtMillis();
            boolean restarted =
                    bornBefore != 0
                            && report.bornAtMillis() != 0
                            && report.bornAtMillis() != bornBefore;
            if (restarted) {
                countCrash(start, now);
            }
        }
    }

    /** Counts the runs that a worker took with it. */
    void lifetimeEnded(String workerId, long now) {
        remove(workerId).forEach(s -> countCrash(s, now));
    }

    private List<InheritedStart> remove(String workerId) {
        List<InheritedStart> starts = startsByWorker.remove(workerId);
        return starts == null ? List.of() : starts;
    }

    private void countCrash(InheritedStart start, long now) {
        TaskEntry task = start.task();
        lifecycle.workerCrashed(task, start.run().run(), NOT_SEEN, now);
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.LOST,
                        task.step().job().id(),
                        task.id() + "#" + start.run().run(),
                        start.run().worker(),
                        "cause="
                                + LossCause.CRASH
                                + " startedBy=predecessor crashes="
                                + task.crashes().count()
                                + " jobState="
                                + task.step().job().state()));
    }
}
