package org.chervillift.sheet.internal;

import java.util.Map;

/**
 * One row below the header that holds something.
 *
 * @param number the row as a spreadsheet numbers it
 * @param cells the trimmed cells that are not empty, by column
 */
record SheetRow(int number, Map<Column, String> cells) {

    SheetRow {
        cells = Map.copyOf(cells);
    }

    String cell(Column column) {
        return cells.getOrDefault(column, "");
    }
}
