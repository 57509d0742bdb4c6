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

/** Carries out operators' commands on the rows of the fleet. */
public final class MaintenanceCommands {

    private final FleetTables tables;
    private final Platform platform;
    private final MaintenanceControl control;
    private final Scheduler scheduler;

    /** Creates the commands at a platform. */
    public MaintenanceCommands(Platform platform, MaintenanceControl control, Scheduler scheduler) {
        this.platform = Checks.notNull("platform", platform);
        this.tables = new FleetTables(platform);
        this.control = Checks.notNull("control", control);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Decides what a command writes. */
    @FunctionalInterface
    public interface Command {
        /** Returns the write, or empty where what was asked is in force already. */
        Optional<FleetWrite> decide(FleetView view, Instant now);
    }

    /** How a command ended. */
    public enum Outcome {
        /** The command took effect. */
        DONE,
        /** What was asked was in force already. */
        ALREADY_IN_FORCE
    }

    /** Reads the rows, and looks at all VMs. */
    public CompletionStage<FleetView> look() {
        return tables.read(Optional.empty()).thenCompose(this::observe);
    }

    /**
     * Carries out a command.
     *
     * <p>Fails with {@link ErrorCode#CONFLICT} if somebody else changed a row that the command
     * depends on, and with {@link ErrorCode#PLATFORM_UNAVAILABLE} if the command may have taken
     * effect: then it can be sent again.
     */
    public CompletionStage<Outcome> carryOut(Command command) {
        return look().thenApply(view -> command.decide(view, scheduler.now()))
                .thenCompose(this::commit);
    }

    private CompletionStage<FleetView> observe(FleetView rows) {
        List<String> all = List.copyOf(rows.vms().keySet());
        return new FleetObserver(platform, control).observe(rows, all, scheduler.now());
    }

    private CompletionStage<Outcome> commit(Optional<FleetWrite> write) {
        if (write.isEmpty()) {
            return CompletableFuture.completedFuture(Outcome.ALREADY_IN_FORCE);
        }
        return tables.commit(write.get()).thenApply(MaintenanceCommands::outcome);
    }

    private static Outcome outcome(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed c -> Outcome.DONE;
            case CommitResult.Conflict c ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "The row %s/%s changed meanwhile. Look again before you repeat it."
                                    .formatted(c.key().table(), c.key().key()));
        };
    }
}
