package org.chervillift.daemon.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.platform.RowKey;

/** The keys of the rows and the names of the objects that store the configuration. */
public final class ConfigRows {

    /** The key of the row that stores the head of the current version. */
    public static final RowKey HEAD_KEY = new RowKey("config", "head");

    private static final String HISTORY_TABLE = "config-history";

    private ConfigRows() {}

    /** Returns the key of the row that stores the head of a version. */
    public static RowKey historyKey(long version) {
        return new RowKey(HISTORY_TABLE, String.format(Locale.ROOT, "%012d", version));
    }

    /** Returns the keys of the last {@code maxCount} versions up to the given one, oldest first. */
    static List<RowKey> historyKeysUpTo(long version, int maxCount) {
        List<RowKey> keys = new ArrayList<>();
        for (long v = Math.max(1, version - maxCount + 1); v <= version; v++) {
            keys.add(historyKey(v));
        }
        return keys;
    }

    /** Returns the name of the object that stores the content of a version. */
    static String objectName(long version, String digest) {
        return "config/" + version + "-" + digest;
    }

    /**
     * Returns whether a version was made by applying the content with this digest to the base
     * version.
     */
    static boolean isResultOf(ConfigHead head, long baseVersion, String digest) {
        return head.version() == baseVersion + 1 && head.digest().equals(digest);
    }
}
