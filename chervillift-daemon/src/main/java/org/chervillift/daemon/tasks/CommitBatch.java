package org.chervillift.daemon.tasks;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Write;

/** Decides how many writes go into one transaction, whose number of rows and bytes is limited. */
final class CommitBatch {

    /** The most rows of one transaction. */
    static final int MAX_ROWS = 40;

    private CommitBatch() {}

    /** Returns how many of some writes, from the first on, fit in one transaction; at least one. */
    static int sizeOf(List<Write> writes) {
        long bytes = 0;
        int size = 0;
        for (Write write : writes) {
            bytes += bytesOf(write);
            if (size == MAX_ROWS || (size > 0 && bytes > RowStore.MAX_COMMIT_BYTES)) {
                return size;
            }
            size++;
        }
        return size;
    }

    /** Returns the length of the value of a row, in bytes. */
    static long bytesOf(Write write) {
        return write.value().map(v -> v.getBytes(StandardCharsets.UTF_8).length).orElse(0);
    }
}
