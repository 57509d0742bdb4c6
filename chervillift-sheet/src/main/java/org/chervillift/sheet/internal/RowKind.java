package org.chervillift.sheet.internal;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** What a row speaks of, and the columns that such a row fills. */
enum RowKind {
    TEAM(Column.SHARE, Column.LIMIT),
    POOL(Column.MIN_AVAILABLE, Column.SPARE),
    QUEUE(Column.POOL, Column.OPEN),
    VM(Column.POOL, Column.DATA_CENTRE, Column.RACK, Column.ADDRESS, Column.SLOTS),
    OBJECTIVE(Column.GOOD, Column.WITHIN),
    /** The last row, which shows that the sheet is not cut. */
    END;

    private final Set<Column> columns = EnumSet.of(Column.KIND, Column.NOTE);

    RowKind(Column... own) {
        columns.addAll(Arrays.asList(own));
    }

    boolean uses(Column column) {
        return columns.contains(column) || (column == Column.NAME && this != END);
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<RowKind> of(String cell) {
        String wanted = cell.toLowerCase(Locale.ROOT);
        return Arrays.stream(values()).filter(k -> k.word().equals(wanted)).findFirst();
    }

    static List<String> words() {
        return Arrays.stream(values()).map(RowKind::word).toList();
    }
}
