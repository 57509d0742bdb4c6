package org.chervillift.sheet;

import org.chervillift.api.Checks;

/**
 * One error in a sheet.
 *
 * @param row the row as a spreadsheet numbers it, from 1; 0 for the sheet as a whole
 * @param column the name of the column, blank for the row as a whole
 * @param value what stands there
 * @param allowed what may stand there
 */
public record SheetError(int row, String column, String value, String allowed) {
    public SheetError {
        Checks.notNegative("row", row);
        Checks.notNull("column", column);
        Checks.notNull("value", value);
        Checks.notBlank("allowed", allowed);
    }

    /** Returns the error as one plain line. */
    public String line() {
        String place = row == 0 ? "sheet" : "row " + row;
        String where = column.isBlank() ? place : place + ", column " + column;
        return where + ": \"" + value + "\" is not allowed. Allowed: " + allowed + ".";
    }
}
