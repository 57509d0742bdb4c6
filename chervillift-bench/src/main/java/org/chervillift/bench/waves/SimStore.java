package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.standin.platform.LaggingList;
import org.chervillift.standin.platform.PlatformState;

/** The platform's tables and list in virtual time. */
final class SimStore {

    private final PlatformState state = new PlatformState();
    private final LaggingList list = new LaggingList();
    private final Variant variant;
    private CommitListener listener = (transaction, now) -> {};
    private Duration listLag = Duration.ZERO;

    SimStore(Variant variant) {
        this.variant = variant;
    }

    /** Told of each transaction that took effect. */
    @FunctionalInterface
    interface CommitListener {
        void committed(Transaction transaction, Instant now);
    }

    void onCommit(CommitListener newListener) {
        listener = newListener;
    }

    void setListLag(Duration lag) {
        listLag = lag;
    }

    List<Row> read(List<RowKey> keys) {
        return state.read(keys);
    }

    List<Row> scan(String table) {
        return state.scan(table);
    }

    CommitResult commit(Transaction transaction, Instant now) {
        CommitResult result = state.commit(weaken(transaction));
        if (result instanceof CommitResult.Committed) {
            listener.committed(transaction, now);
        }
        return result;
    }

    private Transaction weaken(Transaction transaction) {
        String table =
                switch (variant) {
                    case SOUND -> "";
                    case BUDGET_OUTSIDE_TRANSACTION -> PoolRow.TABLE;
                    case NO_FENCE -> DutyRow.TABLE;
                };
        List<Transaction.Condition> kept =
                transaction.conditions().stream()
                        .filter(c -> !c.key().table().equals(table))
                        .toList();
        return new Transaction(transaction.token(), kept, transaction.writes());
    }

    List<ListedVm> list(Instant now) {
        return list.show(now, listLag);
    }

    void show(ListedVm vm, Instant now) {
        list.put(vm, now);
    }

    void hide(String vm, Instant now) {
        list.remove(vm, now);
    }
}
