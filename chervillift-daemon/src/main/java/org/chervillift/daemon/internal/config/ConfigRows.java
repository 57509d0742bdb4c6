package org.chervillift.daemon.internal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.platform.RowKey;

/** The names of the rows and objects that hold the configuration. */
public final class ConfigRows {

    /** The row that holds the accepted head. */
    public static final RowKey HEAD = new RowKey("config", "head");

    private static final String HISTORY_TABLE = "config-history";

    private ConfigRows() {}

    /** Returns the row that keeps the head of one version. */
    public static RowKey history(long version) {
        return new RowKey(HISTORY_TABLE, String.format(Locale.ROOT, "%012d", version));
    }

    /** Returns the rows of the versions up to one, at most some of them. */
    static List<RowKey> historyUpTo(long version, int most) {
        List<RowKey> keys = new ArrayList<>();
        for (long v = Math.max(1, version - most + 1); v <= version; v++) {
            keys.add(history(v));
        }
        return keys;
    }

    /** Returns the name of the object that holds the content of a version. */
    static String objectName(long version, String digest) {
        return "config/" + version + "-" + digest;
    }

    /** Returns whether a head is the result of writing a content on a base. */
    static boolean isResultOf(ConfigHead head, long base, String digest) {
        return head.version() == base + 1 && head.digest().equals(digest);
    }
}
