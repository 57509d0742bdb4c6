package org.chervillift.sheet.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.chervillift.sheet.SheetError;
import org.chervillift.sheet.SheetResult;

/** Gathers the errors of one sheet, up to a bound. */
public final class ErrorList {

    private static final int MOST_VALUE_LENGTH = 80;

    private final List<SheetError> errors = new ArrayList<>();
    private final int most;
    private int total;

    /** Creates an empty list. */
    public ErrorList(int most) {
        this.most = most;
    }

    /** Adds an error. */
    public void add(int row, String column, String value, String allowed) {
        total++;
        if (errors.size() < most) {
            errors.add(new SheetError(row, column, shorten(value), allowed));
        }
    }

    /** Returns whether there is an error. */
    public boolean any() {
        return total > 0;
    }

    /** Returns the count of errors so far. */
    public int total() {
        return total;
    }

    /** Returns the refusal, in the order of the rows. */
    public SheetResult.Refused toRefused() {
        List<SheetError> sorted = new ArrayList<>(errors);
        sorted.sort(Comparator.comparingInt(SheetError::row));
        return new SheetResult.Refused(sorted, total);
    }

    private static String shorten(String value) {
        String line = value.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= MOST_VALUE_LENGTH
                ? line
                : line.substring(0, MOST_VALUE_LENGTH) + "...";
    }
}
