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

/** Counts answers and saves the counts to the platform from time to time. */
public final class UsageReporter implements Part {

    private final Platform platform;
    private final Scheduler scheduler;
    private final Duration interval;
    private final Supplier<FleetConfig> config;
    private final String process;
    private final UsageRecorder recorder;
    private long saves;
    private boolean running;

    /** Creates a reporter; its process is told from others on the VM by the time of its start. */
    public UsageReporter(
            Platform platform,
            Scheduler scheduler,
            DaemonSettings settings,
            Supplier<FleetConfig> config) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.interval = settings.reportSaveInterval();
        this.config = Checks.notNull("config", config);
        this.process = String.valueOf(scheduler.now().toEpochMilli());
        this.recorder = new UsageRecorder(settings.vmId(), process);
    }

    /** Counts an answer. */
    public void note(String queue, HttpResponse response, Duration took) {
        Optional<Objective> objective =
                config.get().objectives().stream().filter(o -> o.queue().equals(queue)).findFirst();
        objective.ifPresent(o -> recorder.record(o, outcome(response, took), scheduler.now()));
    }

    private static AnswerOutcome outcome(HttpResponse response, Duration took) {
        String code = response.getHeader(CallerHttpResponses.ERROR_CODE_HEADER);
        if (code == null) {
            return new AnswerOutcome.Answered(response.getCode(), took);
        }
        int number = Integer.parseInt(code);
        for (ErrorCode c : ErrorCode.values()) {
            if (c.number() == number) {
                return new AnswerOutcome.Refused(c);
            }
        }
        return new AnswerOutcome.Refused(ErrorCode.INTERNAL);
    }

    /** Returns the rows that are not saved yet. */
    public List<UsageRow> unsaved() {
        return recorder.unsavedRows();
    }

    @Override
    public String name() {
        return "usage-reporter";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        scheduler.schedule(interval, this::saveAndRepeat);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return save();
    }

    private void saveAndRepeat() {
        if (running) {
            save().thenRun(() -> scheduler.schedule(interval, this::saveAndRepeat));
        }
    }

    private CompletionStage<Void> save() {
        List<UsageRow> rows = recorder.unsavedRows();
        if (rows.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return platform.commit(transaction(rows))
                .thenAccept(result -> rows.forEach(recorder::markSaved))
                .exceptionally(
                        fault -> {
                            EventLog.log(
                                    DaemonEvent.USAGE_NOT_SAVED,
                                    Field.of("detail", fault.getMessage()));
                            return null;
                        });
    }

    /** The rows are this process's own, so the last write wins and needs no condition. */
    private Transaction transaction(List<UsageRow> rows) {
        List<Transaction.Write> writes = new ArrayList<>();
        rows.forEach(r -> writes.add(Transaction.Write.put(r.key(), Json.encode(r))));
        saves++;
        String token = "usage-" + rows.getFirst().vm() + "-" + process + "-" + saves;
        return new Transaction(token, List.of(), writes);
    }
}
