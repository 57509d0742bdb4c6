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
 * Holds the maintenance duties that this process gets, round after round.
 *
 * <p>After a round that changed something the next one follows soon, as the next step of a VM may
 * be near; a fleet in which nothing changes is looked at less often.
 */
public final class MaintenancePart implements Part {

    private static final Duration SOON = Duration.ofMillis(500);

    private final Function<String, MaintenanceRound> rounds;
    private final Supplier<Set<String>> dataCentres;
    private final Duration interval;
    private final Scheduler scheduler;
    private final Map<String, MaintenanceRound> known = new HashMap<>();
    private boolean running;
    private int run;

    /**
     * Creates the part.
     *
     * @param rounds makes the rounds of a data centre
     * @param dataCentres returns the data centres that have VMs
     */
    public MaintenancePart(
            Function<String, MaintenanceRound> rounds,
            Supplier<Set<String>> dataCentres,
            Duration interval,
            Scheduler scheduler) {
        this.rounds = Checks.notNull("rounds", rounds);
        this.dataCentres = Checks.notNull("dataCentres", dataCentres);
        this.interval = Checks.notNull("interval", interval);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Logs a report as an event. */
    public static void log(WaveReport report) {
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
        run++;
        repeat(run);
        return CompletableFuture.completedFuture(null);
    }

    /** Stops after the step that is under way; another process goes on from the rows. */
    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return CompletableFuture.completedFuture(null);
    }

    private void repeat(int ofRun) {
        if (!running || ofRun != run) {
            return;
        }
        runAll(new TreeSet<>(dataCentres.get()).iterator())
                .whenComplete(
                        (changed, fault) ->
                                scheduler.schedule(
                                        fault == null && changed ? soon() : interval,
                                        () -> repeat(ofRun)));
    }

    private Duration soon() {
        return SOON.compareTo(interval) < 0 ? SOON : interval;
    }

    /** Runs a round for each data centre in turn, and tells whether any changed something. */
    private CompletionStage<Boolean> runAll(Iterator<String> names) {
        if (!names.hasNext() || !running) {
            return CompletableFuture.completedFuture(false);
        }
        MaintenanceRound round = known.computeIfAbsent(names.next(), rounds);
        return round.run()
                .handle(MaintenancePart::changedUnlessFault)
                .thenCompose(changed -> runAll(names).thenApply(other -> changed || other));
    }

    private static boolean changedUnlessFault(Boolean changed, Throwable fault) {
        if (fault != null) {
            EventLog.log(WaveEvent.ROUND_FAILED, Field.of("detail", fault.getMessage()));
            return false;
        }
        return changed;
    }
}
