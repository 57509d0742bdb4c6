package org.chervillift.daemon.waves;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.fleet.MaintenanceControl;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.duties.DutyDecision;
import org.chervillift.core.duties.DutyElection;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.Versioned;
import org.chervillift.core.waves.WaveAction;
import org.chervillift.core.waves.WavePlanner;
import org.chervillift.core.waves.WaveReport;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Runs the maintenance duty of one data centre in rounds, each of which reads, decides and acts.
 *
 * <p>Any failure of the platform ends the round. The next round reads again what took effect.
 */
public final class MaintenanceRunner {

    private static final String DUTY_PREFIX = "waves-";

    private final FleetTables tables;
    private final FleetObserver observer;
    private final MaintenanceControl control;
    private final String dataCentre;
    private final MaintenanceSettings settings;
    private final Scheduler scheduler;
    private final Consumer<WaveReport> reportListener;

    /**
     * Creates the runner for one data centre.
     *
     * @param dataCentre the data centre whose VMs the duty covers
     * @param reportListener receives the reports to the operators
     */
    public MaintenanceRunner(
            Platform platform,
            MaintenanceControl control,
            String dataCentre,
            MaintenanceSettings settings,
            Scheduler scheduler,
            Consumer<WaveReport> reportListener) {
        this.observer = new FleetObserver(platform, control);
        this.tables = new FleetTables(platform);
        this.control = Checks.notNull("control", control);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
        this.settings = Checks.notNull("settings", settings);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.reportListener = Checks.notNull("reportListener", reportListener);
    }

    /**
     * Runs one round; the stage fails if the platform does not answer.
     *
     * @return whether the round changed anything, so that the next step may be due soon
     */
    public CompletionStage<Boolean> runRound() {
        String name = DUTY_PREFIX + dataCentre;
        boolean preferred = dataCentre.equals(settings.dataCentre());
        return tables.readDuty(name)
                .thenCompose(
                        row ->
                                executeDecision(
                                        DutyElection.decide(
                                                name,
                                                row,
                                                settings.holder(),
                                                preferred,
                                                settings.dutySettings(),
                                                scheduler.now())));
    }

    private CompletionStage<Boolean> executeDecision(DutyDecision decision) {
        return switch (decision) {
            case DutyDecision.StandBy s -> CompletableFuture.completedFuture(false);
            case DutyDecision.Write w ->
                    tables.commit(w.conditions(), w.row()).thenApply(ignored -> false);
            case DutyDecision.Act a -> runAsHolder(a.row());
        };
    }

    private CompletionStage<Boolean> runAsHolder(Versioned<DutyRow> duty) {
        return tables.readFleet(Optional.of(duty))
                .thenCompose(this::observe)
                .thenCompose(this::decideAndExecute);
    }

    private CompletionStage<Boolean> decideAndExecute(FleetView view) {
        List<WaveAction> actions =
                WavePlanner.decide(view, dataCentre, settings.waveSettings(), scheduler.now());
        boolean changes = actions.stream().anyMatch(a -> !(a instanceof WaveAction.Report));
        return execute(actions.iterator()).thenApply(ignored -> changes);
    }

    private CompletionStage<FleetView> observe(FleetView rows) {
        List<String> vmIds =
                rows.vms().values().stream()
                        .map(Versioned::row)
                        .filter(v -> v.dataCentre().equals(dataCentre))
                        .map(VmRow::id)
                        .toList();
        return observer.observe(rows, vmIds, scheduler.now());
    }

    private CompletionStage<Void> execute(Iterator<WaveAction> actions) {
        if (!actions.hasNext()) {
            return CompletableFuture.completedFuture(null);
        }
        return execute(actions.next()).thenCompose(ignored -> execute(actions));
    }

    private CompletionStage<?> execute(WaveAction action) {
        return switch (action) {
            case WaveAction.Commit c ->
                    tables.commit(c.write()).thenAccept(result -> reportIfCommitted(c, result));
            case WaveAction.Drain d -> control.drain(d.vm(), d.fence());
            case WaveAction.Reboot r -> control.reboot(r.vm(), r.fence());
            case WaveAction.Restore r -> control.restore(r.vm(), r.fence());
            case WaveAction.Report t -> {
                reportListener.accept(t.report());
                yield CompletableFuture.completedFuture(null);
            }
        };
    }

    private void reportIfCommitted(WaveAction.Commit commit, CommitResult result) {
        if (result instanceof CommitResult.Committed) {
            commit.report().ifPresent(reportListener);
        }
    }
}
