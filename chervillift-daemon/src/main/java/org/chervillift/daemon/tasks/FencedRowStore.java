package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;

/**
 * Reads and writes the rows of the holder; a write fails once a newer holder has taken over.
 *
 * @param store the store
 * @param termVersion returns the version of the term row, which only a takeover changes
 */
record FencedRowStore(RowStore store, LongSupplier termVersion) {
    FencedRowStore {
        Checks.notNull("store", store);
        Checks.notNull("termVersion", termVersion);
    }

    /** Reads rows of a table in the holder's partition. */
    CompletionStage<Page> scan(String table, KeyRange range) {
        return store.scan(table, StoreLayout.HOLDER_PARTITION, range);
    }

    /** Writes a row, on condition that no newer holder has taken over. */
    CompletionStage<Outcome> commit(Write write) {
        return commit(List.of(), List.of(write));
    }

    /** Writes rows, on condition that no newer holder has taken over and the others hold. */
    CompletionStage<Outcome> commit(List<Condition> others, List<Write> writes) {
        List<Condition> conditions = new ArrayList<>();
        conditions.add(new Condition(StoreLayout.TERM_KEY, termVersion.getAsLong()));
        conditions.addAll(others);
        return store.commit(StoreLayout.HOLDER_PARTITION, conditions, writes);
    }
}
