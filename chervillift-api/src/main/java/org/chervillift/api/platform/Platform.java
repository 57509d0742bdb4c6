package org.chervillift.api.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's service, which keeps all that must last.
 *
 * <p>Each stage fails with {@link PlatformException} when the platform is down, slow or cut off.
 */
public interface Platform {

    /** Reads rows by key; rows that do not exist are left out. All rows are of one moment. */
    CompletionStage<List<Row>> read(List<RowKey> keys);

    /** Reads all rows of a table, of one moment, ordered by key. */
    CompletionStage<List<Row>> scan(String table);

    /** Carries out a transaction. */
    CompletionStage<CommitResult> commit(Transaction transaction);

    /** Reads an object. */
    CompletionStage<Optional<String>> getObject(String name);

    /** Writes an object. Objects are immutable: a name is written with one content only. */
    CompletionStage<Void> putObject(String name, String content);

    /** Reads the list of VMs, which lags. */
    CompletionStage<List<ListedVm>> listVms();
}
