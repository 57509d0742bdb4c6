package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.stream.IntStream;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.ProgressPart;
import org.chervillift.core.tasks.ProgressRow;

/** The tables, partitions and row keys in which jobs, their progress and the lease are stored. */
final class StoreLayout {

    /** Accepted jobs by identifier, and markers for those that callers cancelled. */
    static final String JOBS_TABLE = "jobs";

    /** The progress of jobs, by job identifier. */
    static final String PROGRESS_TABLE = "progress";

    /** The parts of the progress of large jobs; earlier releases do not read them. */
    static final String PARTS_TABLE = "progress-parts";

    /** The lease and the term of the holder. */
    static final String HOLDER_TABLE = "holder";

    /** The partition of the lease and of all rows that only the holder writes. */
    static final String HOLDER_PARTITION = "holder";

    /** A partition of a slow store accepts few writes, so jobs are spread over several. */
    private static final int JOB_PARTITION_COUNT = 16;

    static final List<String> JOB_PARTITIONS =
            IntStream.range(0, JOB_PARTITION_COUNT).mapToObj(i -> "jobs-" + i).toList();

    static final RowKey LEASE_KEY = new RowKey(HOLDER_TABLE, "lease");
    static final RowKey TERM_KEY = new RowKey(HOLDER_TABLE, "term");
    static final RowKey WORKERS_KEY = new RowKey("held", "workers");
    static final RowKey PENDING_COUNTS_KEY = new RowKey("held", "pending");

    private static final String CANCEL_SUFFIX = "/cancel";

    private static final char SEPARATOR = '/';
    private static final String DONE_TASKS = "done";

    private StoreLayout() {}

    /** Returns the partition of a job row and of its cancellation row. */
    static String partitionOf(String id) {
        return JOB_PARTITIONS.get(Math.floorMod(id.hashCode(), JOB_PARTITION_COUNT));
    }

    static RowKey jobKey(String id) {
        return new RowKey(JOBS_TABLE, id);
    }

    static RowKey cancellationKey(String id) {
        return new RowKey(JOBS_TABLE, id + CANCEL_SUFFIX);
    }

    static RowKey progressKey(String id) {
        return new RowKey(PROGRESS_TABLE, id);
    }

    /** Returns the key of a part of the progress of a job. */
    static RowKey partKey(ProgressRow.Part part) {
        StepProgress tasks = part.progress().tasks();
        String number =
                part.number() == ProgressPart.DONE_TASKS
                        ? DONE_TASKS
                        : Integer.toString(part.number());
        return new RowKey(
                PARTS_TABLE,
                occurrencePrefix(part.jobId(), tasks.occurrence())
                        + tasks.step()
                        + SEPARATOR
                        + number);
    }

    /** Returns what the keys of the parts of a job begin with. */
    static String partsPrefix(String jobId) {
        return jobId + SEPARATOR;
    }

    /** Returns what the keys of the parts of an occurrence of a job begin with. */
    static String occurrencePrefix(String jobId, int occurrence) {
        return partsPrefix(jobId) + occurrence + SEPARATOR;
    }

    /** Returns the job identifier from the key of a part. */
    static String jobIdOfPart(String key) {
        return key.substring(0, key.indexOf(SEPARATOR));
    }

    /** Returns the occurrence from the key of a part. */
    static int occurrenceOfPart(String key) {
        int from = key.indexOf(SEPARATOR) + 1;
        return Integer.parseInt(key, from, key.indexOf(SEPARATOR, from), 10);
    }

    static boolean isCancellation(RowKey key) {
        return key.key().endsWith(CANCEL_SUFFIX);
    }

    /** Returns the job identifier from the key of a job row or a cancellation row. */
    static String jobIdOf(RowKey key) {
        String name = key.key();
        return isCancellation(key)
                ? name.substring(0, name.length() - CANCEL_SUFFIX.length())
                : name;
    }

    /** Returns the key range that contains a job row and its cancellation row. */
    static KeyRange jobAndCancellationRange(String id) {
        return KeyRange.between(id, id + "0");
    }

    static KeyRange singleKeyRange(String id) {
        return KeyRange.between(id, id + '\0');
    }

    /**
     * The stored list of the workers that a holder may have sent tasks to.
     *
     * @param term the holder's term
     * @param workers the workers
     */
    record HeldWorkers(long term, List<HeldWorker> workers) {
        HeldWorkers {
            workers = List.copyOf(workers);
        }
    }

    /**
     * A worker that may have runs.
     *
     * @param id the identifier of the worker
     * @param pool the pool of the worker
     */
    record HeldWorker(String id, String pool) {}
}
