package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.ProgressPart;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * The progress that earlier holders stored, until its jobs are read.
 *
 * <p>A job whose progress cannot be read is left alone, since it is not known which of its tasks
 * have been done.
 */
final class StoredProgress {

    private final ProgressWriter writer;
    private final Map<String, JobProgress> progressByJob = new HashMap<>();
    private final Map<String, Map<RowKey, ProgressPart>> partsByJob = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    private boolean partsAdded;

    /**
     * Creates a collection without progress.
     *
     * @param writer learns the versions of the rows, and deletes parts that are not needed
     */
    StoredProgress(ProgressWriter writer) {
        this.writer = writer;
    }

    /** Adds the row of a job. */
    void addRow(Row row) {
        String id = row.key().key();
        writer.recordVersion(row);
        try {
            progressByJob.put(id, Json.decode(row.value(), JobProgress.class));
        } catch (RuntimeException e) {
            markUnreadable(id, id, e);
        }
    }

    /** Returns whether the progress of a job is stored in parts. */
    boolean hasJobsInParts() {
        return progressByJob.values().stream().anyMatch(p -> p.partsTerm().isPresent());
    }

    /** Returns whether parts have been added. */
    boolean arePartsRead() {
        return partsAdded;
    }

    /** Deletes a part that no job needs, unless this holder has stored it since. */
    void deleteLeftPart(Row row, long term) {
        try {
            if (Json.decode(row.value(), ProgressPart.class).term() < term) {
                writer.recordPart(row);
                writer.deletePart(row.key());
            }
        } catch (RuntimeException e) {
            logUnreadable(row.key().key(), e);
        }
    }

    /** Adds a part of the progress of a job. */
    void addPart(Row row) {
        String id = StoreLayout.jobIdOfPart(row.key().key());
        writer.recordPart(row);
        partsAdded = true;
        try {
            partsByJob
                    .computeIfAbsent(id, i -> new HashMap<>())
                    .put(row.key(), Json.decode(row.value(), ProgressPart.class));
        } catch (RuntimeException e) {
            markUnreadable(id, row.key().key(), e);
        }
    }

    /**
     * Records that the progress of a job cannot be used.
     *
     * @param key the key of the row
     */
    void markUnreadable(String jobId, String key, RuntimeException why) {
        unreadable.add(jobId);
        logUnreadable(key, why);
    }

    static void logUnreadable(String key, RuntimeException why) {
        EventLog.log(
                TaskEvent.ROW_UNREADABLE, Field.of("key", key), Field.of("why", why.getMessage()));
    }

    /** Returns whether the progress of a job cannot be used. */
    boolean isUnreadable(String jobId) {
        return unreadable.contains(jobId);
    }

    /** Removes the progress of a job, and returns it with its parts; deletes needless parts. */
    Optional<JobProgress> take(String jobId) {
        return Optional.ofNullable(progressByJob.remove(jobId)).map(p -> withParts(jobId, p));
    }

    private JobProgress withParts(String jobId, JobProgress progress) {
        Map<RowKey, ProgressPart> parts = partsByJob.remove(jobId);
        if (parts == null) {
            return progress;
        }
        parts.forEach(
                (key, part) -> {
                    if (!progress.includes(part)) {
                        writer.deletePart(key);
                    }
                });
        return progress.withParts(List.copyOf(parts.values()));
    }

    /**
     * Removes the progress of ended jobs that were not read, and the parts without progress.
     *
     * @return the identifiers of these jobs
     */
    List<String> removeWithoutJob() {
        List<String> ended = new ArrayList<>();
        progressByJob.forEach(
                (id, p) -> {
                    if (p.state().isFinal()) {
                        ended.add(id);
                    }
                });
        progressByJob.keySet().removeAll(ended);
        partsByJob.keySet().removeAll(unreadable);
        partsByJob.forEach((id, parts) -> deletePartsOfUnknown(id, parts.keySet()));
        partsByJob.keySet().retainAll(progressByJob.keySet());
        return ended;
    }

    private void deletePartsOfUnknown(String jobId, Set<RowKey> parts) {
        if (!progressByJob.containsKey(jobId)) {
            parts.forEach(writer::deletePart);
        }
    }
}
