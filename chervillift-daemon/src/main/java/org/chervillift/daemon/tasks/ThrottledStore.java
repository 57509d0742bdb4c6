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
 * Wraps a store and limits the rate of table reads to what the network link can carry.
 *
 * <p>The number of requested rows that have not arrived yet is limited by a window, and a read
 * returns no more rows than its share of that; the caller continues after the last row. Commits and
 * change feeds are not delayed, so that a lease is renewed while tables are read. Not thread-safe.
 */
final class ThrottledStore implements RowStore {

    private final RowStore delegate;
    private final Scheduler scheduler;
    private final ReadWindow window = new ReadWindow();
    private final Queue<PendingRead> waitingReads = new ArrayDeque<>();
    private int openReads;
    private int openRows;
    private boolean sendScheduled;

    /** A read that has not been sent yet. */
    private record PendingRead(
            String table,
            String partition,
            KeyRange range,
            int maxRows,
            CompletableFuture<Page> answer) {}

    ThrottledStore(RowStore delegate, Scheduler scheduler) {
        this.delegate = Checks.notNull("delegate", delegate);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    @Override
    public CompletionStage<Page> scan(String table, String partition, KeyRange range, int maxRows) {
        CompletableFuture<Page> answer = new CompletableFuture<>();
        waitingReads.add(new PendingRead(table, partition, range, maxRows, answer));
        scheduleSend();
        return answer;
    }

    /** Defers sending until all reads of this moment are queued, so that they get equal shares. */
    private void scheduleSend() {
        if (!sendScheduled) {
            sendScheduled = true;
            scheduler.schedule(Duration.ZERO, this::sendWaitingReads);
        }
    }

    private void sendWaitingReads() {
        sendScheduled = false;
        while (!waitingReads.isEmpty()) {
            int rows = window.rowsPerRead(openReads + waitingReads.size());
            if (openReads > 0 && openRows + rows > window.rows()) {
                return;
            }
            send(waitingReads.remove(), rows);
        }
    }

    private void send(PendingRead read, int share) {
        int rows = Math.min(read.maxRows(), share);
        openReads++;
        openRows += rows;
        window.readSent();
        long sentAt = nowMillis();
        delegate.scan(read.table(), read.partition(), read.range(), rows)
                .whenComplete(
                        (page, fault) -> {
                            openReads--;
                            openRows -= rows;
                            if (fault == null) {
                                window.readAnswered(nowMillis() - sentAt);
                                read.answer().complete(page);
                            } else {
                                window.readFailed();
                                read.answer().completeExceptionally(fault);
                            }
                            scheduleSend();
                        });
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    @Override
    public CompletionStage<Outcome> commit(
            String partition, List<Condition> conditions, List<Write> writes) {
        return delegate.commit(partition, conditions, writes);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return delegate.follow(table, afterVersion, wait);
    }
}
