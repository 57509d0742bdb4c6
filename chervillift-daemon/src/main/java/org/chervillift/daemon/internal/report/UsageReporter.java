package org.chervillift.daemon.internal.report;

import io.activej.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Objective;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Transaction;
import org.chervillift.api.report.UsageRow;
import org.chervillift.core.report.AnswerOutcome;
import org.chervillift.core.report.UsageRecorder;
import org.chervillift.daemon.internal.CallerHttpResponses;
import org.chervillift.daemon.internal.DaemonEvent;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/** Counts responses to callers and saves the counts to the platform periodically. */
public final class UsageReporter implements Part {

    private final Platform platform;
    private final Scheduler scheduler;
    private final Duration saveInterval;
    private final Supplier<FleetConfig> config;
    private final String processId;
    private final UsageRecorder recorder;
    private long saveCount;
    private boolean running;

    /** Creates a reporter; its start time distinguishes it from other processes on the same VM. */
    public UsageReporter(
            Platform platform,
            Scheduler scheduler,
            DaemonSettings settings,
            Supplier<FleetConfig> config) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.saveInterval = settings.reportSaveInterval();
        this.config = Checks.notNull("config", config);
        this.processId = String.valueOf(scheduler.now().toEpochMilli());
        this.recorder = new UsageRecorder(settings.vmId(), processId);
    }

    /** Counts a response, if the queue has an objective. */
    public void countResponse(String queue, HttpResponse response, Duration duration) {
        Optional<Objective> objective =
                config.get().objectives().stream().filter(o -> o.queue().equals(queue)).findFirst();
        objective.ifPresent(
                o -> recorder.record(o, toOutcome(response, duration), scheduler.now()));
    }

    private static AnswerOutcome toOutcome(HttpResponse response, Duration duration) {
        String code = response.getHeader(CallerHttpResponses.ERROR_CODE_HEADER);
        if (code == null) {
            return new AnswerOutcome.Answered(response.getCode(), duration);
        }
        int number = Integer.parseInt(code);
        for (ErrorCode c : ErrorCode.values()) {
            if (c.number() == number) {
                return new AnswerOutcome.Refused(c);
            }
        }
        return new AnswerOutcome.Refused(ErrorCode.INTERNAL);
    }

    /** Returns the rows that are not yet saved. */
    public List<UsageRow> unsavedRows() {
        return recorder.unsavedRows();
    }

    @Override
    public String name() {
        return "usage-reporter";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        scheduler.schedule(saveInterval, this::saveAndRepeat);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return save();
    }

    private void saveAndRepeat() {
        if (running) {
            save().thenRun(() -> scheduler.schedule(saveInterval, this::saveAndRepeat));
        }
    }

    private CompletionStage<Void> save() {
        List<UsageRow> rows = recorder.unsavedRows();
        if (rows.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return platform.commit(saveTransaction(rows))
                .thenAccept(result -> rows.forEach(recorder::markSaved))
                .exceptionally(
                        failure -> {
                            EventLog.log(
                                    DaemonEvent.USAGE_NOT_SAVED,
                                    Field.of("detail", failure.getMessage()));
                            return null;
                        });
    }

    /** Only this process writes these rows, so the last write wins without a condition. */
    private Transaction saveTransaction(List<UsageRow> rows) {
        List<Transaction.Write> writes = new ArrayList<>();
        rows.forEach(r -> writes.add(Transaction.Write.put(r.key(), Json.encode(r))));
        saveCount++;
        String token = "usage-" + rows.getFirst().vm() + "-" + processId + "-" + saveCount;
        return new Transaction(token, List.of(), writes);
    }
}
