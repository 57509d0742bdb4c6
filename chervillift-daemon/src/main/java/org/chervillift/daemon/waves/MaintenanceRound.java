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
 * One round of the maintenance duty of one data centre: read, decide, act.
 *
 * <p>Any fault of the platform ends the round. The next one reads again what took effect.
 */
public final class MaintenanceRound {

    private static final String DUTY_PREFIX = "waves-";

    private final FleetTables tables;
    private final FleetObserver observer;
    private final MaintenanceControl control;
    private final String dataCentre;
    private final MaintenanceSettings settings;
    private final Scheduler scheduler;
    private final Consumer<WaveReport> reports;

    /**
     * Creates the rounds of one data centre.
     *
     * @param dataCentre the data centre whose VMs the duty is about
     * @param reports told what an operator should know
     */
    public MaintenanceRound(
            Platform platform,
            MaintenanceControl control,
            String dataCentre,
            MaintenanceSettings settings,
            Scheduler scheduler,
            Consumer<WaveReport> reports) {
        this.observer = new FleetObserver(platform, control);
        this.tables = new FleetTables(platform);
        this.control = Checks.notNull("control", control);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
        this.settings = Checks.notNull("settings", settings);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.reports = Checks.notNull("reports", reports);
    }

    /**
     * Runs one round; fails when the platform does not answer.
     *
     * @return whether it changed anything, so that the next step may be near
     */
    public CompletionStage<Boolean> run() {
        String name = DUTY_PREFIX + dataCentre;
        boolean first = dataCentre.equals(settings.dataCentre());
        return tables.duty(name)
                .thenCompose(
                        row ->
                                follow(
                                        DutyElection.decide(
                                                name,
                                                row,
                                                settings.self(),
                                                first,
                                                settings.duties(),
                                                scheduler.now())));
    }

    private CompletionStage<Boolean> follow(DutyDecision decision) {
        return switch (decision) {
            case DutyDecision.StandBy s -> CompletableFuture.completedFuture(false);
            case DutyDecision.Write w ->
                    tables.commit(w.conditions(), w.row()).thenApply(ignored -> false);
            case DutyDecision.Act a -> act(a.row());
        };
    }

    private CompletionStage<Boolean> act(Versioned<DutyRow> duty) {
        return tables.read(Optional.of(duty))
                .thenCompose(this::observe)
                .thenCompose(this::decideAndCarryOut);
    }

    private CompletionStage<Boolean> decideAndCarryOut(FleetView view) {
        List<WaveAction> actions =
                WavePlanner.decide(view, dataCentre, settings.waves(), scheduler.now());
        boolean changes = actions.stream().anyMatch(a -> !(a instanceof WaveAction.Report));
        return carryOut(actions.iterator()).thenApply(ignored -> changes);
    }

    private CompletionStage<FleetView> observe(FleetView rows) {
        List<String> own =
                rows.vms().values().stream()
                        .map(Versioned::row)
                        .filter(v -> v.dataCentre().equals(dataCentre))
                        .map(VmRow::id)
                        .toList();
        return observer.observe(rows, own, scheduler.now());
    }

    private CompletionStage<Void> carryOut(Iterator<WaveAction> actions) {
        if (!actions.hasNext()) {
            return CompletableFuture.completedFuture(null);
        }
        return carryOut(actions.next()).thenCompose(ignored -> carryOut(actions));
    }

    private CompletionStage<?> carryOut(WaveAction action) {
        return switch (action) {
            case WaveAction.Commit c ->
                    tables.commit(c.write()).thenAccept(result -> reportIfDone(c, result));
            case WaveAction.Drain d -> control.drain(d.vm(), d.fence());
            case WaveAction.Reboot r -> control.reboot(r.vm(), r.fence());
            case WaveAction.Restore r -> control.restore(r.vm(), r.fence());
            case WaveAction.Report t -> {
                reports.accept(t.report());
                yield CompletableFuture.completedFuture(null);
            }
        };
    }

    private void reportIfDone(WaveAction.Commit commit, CommitResult result) {
        if (result instanceof CommitResult.Committed) {
            commit.report().ifPresent(reports);
        }
    }
}
