package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.ReadWindow;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * A store of which tables are read no faster than the link bears.
 *
 * <p>The rows asked for and not come yet stay within a window, and a read brings only as many rows
 * as its share of it; the caller goes on from the last. Commits and feeds pass at once, so that a
 * lease is renewed while tables are read. Used by one thread.
 */
final class PacedStore implements RowStore {

    private final RowStore store;
    private final Scheduler scheduler;
    private final ReadWindow window = new ReadWindow();
    private final Queue<Read> waiting = new ArrayDeque<>();
    private int openReads;
    private int openRows;
    private boolean sendScheduled;

    /** A read that is to be sent. */
    private record Read(
            String table, String part, KeyRange range, int most, CompletableFuture<Page> answer) {}

    PacedStore(RowStore store, Scheduler scheduler) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        CompletableFuture<Page> answer = new CompletableFuture<>();
        waiting.add(new Read(table, part, range, most, answer));
        sendSoon();
        return answer;
    }

    /** Sends once all reads of this moment are known, so that they get equal shares. */
    private void sendSoon() {
        if (!sendScheduled) {
            sendScheduled = true;
            scheduler.schedule(Duration.ZERO, this::sendWaiting);
        }
    }

    private void sendWaiting() {
        sendScheduled = false;
        while (!waiting.isEmpty()) {
            int rows = window.rowsPerRead(openReads + waiting.size());
            if (openReads > 0 && openRows + rows > window.rows()) {
                return;
            }
            send(waiting.remove(), rows);
        }
    }

    private void send(Read read, int share) {
        int rows = Math.min(read.most(), share);
        openReads++;
        openRows += rows;
        window.readSent();
        long sentAt = now();
        store.scan(read.table(), read.part(), read.range(), rows)
                .whenComplete(
                        (page, fault) -> {
                            openReads--;
                            openRows -= rows;
                            if (fault == null) {
                                window.readAnswered(now() - sentAt);
                                read.answer().complete(page);
                            } else {
                                window.readFailed();
                                read.answer().completeExceptionally(fault);
                            }
                            sendSoon();
                        });
    }

    private long now() {
        return scheduler.now().toEpochMilli();
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return store.commit(part, conditions, writes);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return store.follow(table, afterVersion, wait);
    }
}
