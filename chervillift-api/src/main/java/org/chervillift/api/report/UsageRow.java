package org.chervillift.api.report;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;

/**
 * The answers that one entry VM gave in one hour; a row of the platform's table.
 *
 * @param vm the entry VM
 * @param process tells two processes on the same VM apart
 * @param hourMillis the start of the hour, in milliseconds since 1970 UTC
 * @param buckets the buckets of the hour, in order of time
 */
public record UsageRow(String vm, String process, long hourMillis, List<UsageBucket> buckets) {

    private static final DateTimeFormatter DAY =
            DateTimeFormatter.ofPattern("yyyy-MM-dd").withZone(ZoneOffset.UTC);

    public UsageRow {
        Checks.notBlank("vm", vm);
        Checks.notBlank("process", process);
        Checks.notNegative("hourMillis", hourMillis);
        buckets = List.copyOf(buckets);
    }

    /** Returns the table that holds the rows of the day of a moment. */
    public static String table(Instant moment) {
        return "usage-" + DAY.format(moment);
    }

    /** Returns the key of the row. */
    public RowKey key() {
        Instant hour = Instant.ofEpochMilli(hourMillis);
        return new RowKey(table(hour), hour + "-" + vm + "-" + process);
    }
}
