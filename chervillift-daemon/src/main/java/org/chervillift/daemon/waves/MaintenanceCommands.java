package org.chervillift.daemon.waves;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.fleet.MaintenanceControl;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.runtime.supervision.Scheduler;

/** Executes operators' commands on the fleet's rows. */
public final class MaintenanceCommands {

    private final FleetTables tables;
    private final Platform platform;
    private final MaintenanceControl control;
    private final Scheduler scheduler;

    /** Creates the executor of commands on a platform. */
    public MaintenanceCommands(Platform platform, MaintenanceControl control, Scheduler scheduler) {
        this.platform = Checks.notNull("platform", platform);
        this.tables = new FleetTables(platform);
        this.control = Checks.notNull("control", control);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Decides what a command writes. */
    @FunctionalInterface
    public interface Command {
        /** Returns the write, or empty if the command is already in effect. */
        Optional<FleetWrite> decide(FleetView view, Instant now);
    }

    /** The outcome of a command. */
    public enum Outcome {
        /** The command took effect. */
        DONE,
        /** The command was already in effect. */
        ALREADY_IN_FORCE
    }

    /** Reads the rows and checks the health of all VMs. */
    public CompletionStage<FleetView> readFleet() {
        return tables.readFleet(Optional.empty()).thenCompose(this::observe);
    }

    /**
     * Executes a command.
     *
     * <p>Fails with {@link ErrorCode#CONFLICT} if a row that the command depends on was changed
     * concurrently, and with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the command may have taken
     * effect; it can then be sent again.
     */
    public CompletionStage<Outcome> execute(Command command) {
        return readFleet()
                .thenApply(view -> command.decide(view, scheduler.now()))
                .thenCompose(this::commit);
    }

    private CompletionStage<FleetView> observe(FleetView rows) {
        List<String> vmIds = List.copyOf(rows.vms().keySet());
        return new FleetObserver(platform, control).observe(rows, vmIds, scheduler.now());
    }

    private CompletionStage<Outcome> commit(Optional<FleetWrite> write) {
        if (write.isEmpty()) {
            return CompletableFuture.completedFuture(Outcome.ALREADY_IN_FORCE);
        }
        return tables.commit(write.get()).thenApply(MaintenanceCommands::toOutcome);
    }

    private static Outcome toOutcome(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed c -> Outcome.DONE;
            case CommitResult.Conflict c ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "The row %s/%s was changed concurrently. Check it, then try again."
                                    .formatted(c.key().table(), c.key().key()));
        };
    }
}
