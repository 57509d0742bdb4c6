package org.chervillift.sheet.internal;

import java.util.regex.Pattern;
import org.apache.commons.csv.CSVRecord;

/** Helps with single cells. */
final class Cells {

    private static final Pattern OUTER_SPACE =
            Pattern.compile("\\A[\\s\\u00A0\\u202F\\uFEFF]+|[\\s\\u00A0\\u202F\\uFEFF]+\\z");

    private Cells() {}

    /** Removes outer spaces, no-break ones among them. */
    static String trim(String cell) {
        return OUTER_SPACE.matcher(cell).replaceAll("");
    }

    static boolean isBlank(CSVRecord record) {
        for (String cell : record) {
            if (!trim(cell).isEmpty()) {
                return false;
            }
        }
        return true;
    }
}
