package org.chervillift.daemon.waves;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.core.waves.WaveReport;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Runs the maintenance duties that this process acquires, in repeated rounds.
 *
 * <p>After a round that changed something, the next one starts after a shorter interval, because
 * the next step of a VM may be due soon. While nothing changes, the rounds are less frequent.
 */
public final class MaintenancePart implements Part {

    private static final Duration INTERVAL_AFTER_CHANGE = Duration.ofMillis(500);

    private final Function<String, MaintenanceRunner> runnerFactory;
    private final Supplier<Set<String>> dataCentres;
    private final Duration interval;
    private final Scheduler scheduler;
    private final Map<String, MaintenanceRunner> runners = new HashMap<>();
    private boolean running;
    private int startCount;

    /**
     * Creates the part.
     *
     * @param runnerFactory creates the runner for a data centre
     * @param dataCentres returns the data centres that have VMs
     */
    public MaintenancePart(
            Function<String, MaintenanceRunner> runnerFactory,
            Supplier<Set<String>> dataCentres,
            Duration interval,
            Scheduler scheduler) {
        this.runnerFactory = Checks.notNull("runnerFactory", runnerFactory);
        this.dataCentres = Checks.notNull("dataCentres", dataCentres);
        this.interval = Checks.notNull("interval", interval);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Logs a report as an event. */
    public static void logReport(WaveReport report) {
        EventLog.log(
                WaveEvent.of(report.kind()),
                Field.of("subject", report.subject()),
                Field.of("detail", report.sentence()));
    }

    @Override
    public String name() {
        return "maintenance";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        startCount++;
        runRepeatedly(startCount);
        return CompletableFuture.completedFuture(null);
    }

    /** Stops after the current round of a data centre; another process continues from the rows. */
    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return CompletableFuture.completedFuture(null);
    }

    private void runRepeatedly(int startNumber) {
        if (!running || startNumber != startCount) {
            return;
        }
        runRemaining(new TreeSet<>(dataCentres.get()).iterator())
                .whenComplete(
                        (changed, fault) ->
                                scheduler.schedule(
                                        fault == null && changed ? intervalAfterChange() : interval,
                                        () -> runRepeatedly(startNumber)));
    }

    private Duration intervalAfterChange() {
        return INTERVAL_AFTER_CHANGE.compareTo(interval) < 0 ? INTERVAL_AFTER_CHANGE : interval;
    }

    /**
     * Runs a round for each remaining data centre, one after the other, and returns whether any of
     * them changed something.
     */
    private CompletionStage<Boolean> runRemaining(Iterator<String> remaining) {
        if (!remaining.hasNext() || !running) {
            return CompletableFuture.completedFuture(false);
        }
        MaintenanceRunner runner = runners.computeIfAbsent(remaining.next(), runnerFactory);
        return runner.runRound()
                .handle(MaintenancePart::changedOrLogFailure)
                .thenCompose(
                        changed ->
                                runRemaining(remaining)
                                        .thenApply(othersChanged -> changed || othersChanged));
    }

    private static boolean changedOrLogFailure(Boolean changed, Throwable fault) {
        if (fault != null) {
            EventLog.log(WaveEvent.ROUND_FAILED, Field.of("detail", fault.getMessage()));
            return false;
        }
        return changed;
    }
}
