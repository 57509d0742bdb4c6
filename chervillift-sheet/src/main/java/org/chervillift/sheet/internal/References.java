package org.chervillift.sheet.internal;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The names that a sheet declares, so that rows can be checked against each other. */
final class References {

    private final Map<RowKind, Set<String>> names = new EnumMap<>(RowKind.class);
    private final Set<String> sparePools = new HashSet<>();

    private References() {
        for (RowKind kind : RowKind.values()) {
            names.put(kind, new HashSet<>());
        }
    }

    /** Gathers the names, and refuses names and addresses that stand twice. */
    static References of(List<SheetRow> rows, ErrorList errors) {
        References references = new References();
        Map<RowKind, Map<String, Integer>> firstRows = new EnumMap<>(RowKind.class);
        Map<String, Integer> addresses = new HashMap<>();
        for (SheetRow row : rows) {
            Optional<RowKind> kind = RowKind.of(row.cell(Column.KIND));
            if (kind.isEmpty() || kind.get() == RowKind.END) {
                continue;
            }
            references.declare(kind.get(), row);
            Map<String, Integer> seen = firstRows.computeIfAbsent(kind.get(), k -> new HashMap<>());
            refuseTwice(row, Column.NAME, seen, errors);
            refuseTwice(row, Column.ADDRESS, addresses, errors);
        }
        return references;
    }

    private void declare(RowKind kind, SheetRow row) {
        names.get(kind).add(row.cell(Column.NAME));
        if (kind == RowKind.POOL && RowReader.isYes(row.cell(Column.SPARE))) {
            sparePools.add(row.cell(Column.NAME));
        }
    }

    private static void refuseTwice(
            SheetRow row, Column column, Map<String, Integer> seen, ErrorList errors) {
        String cell = row.cell(column);
        if (cell.isEmpty()) {
            return;
        }
        // Names that differ only in case are one name to a reader.
        Integer first = seen.putIfAbsent(cell.toLowerCase(Locale.ROOT), row.number());
        if (first != null) {
            errors.add(
                    row.number(),
                    column.title(),
                    cell,
                    "another value, as row " + first + " has this one, whatever its case");
        }
    }

    void checkPool(RowReader cells, String pool) {
        if (!names.get(RowKind.POOL).contains(pool)) {
            cells.refuse(Column.POOL, "the name of a pool in this sheet");
        }
    }

    void checkServingPool(RowReader cells, String pool) {
        checkPool(cells, pool);
        if (sparePools.contains(pool)) {
            cells.refuse(Column.POOL, "a pool that is not spare");
        }
    }

    void checkQueue(RowReader cells, String queue) {
        if (!names.get(RowKind.QUEUE).contains(queue)) {
            cells.refuse(Column.NAME, "the name of a queue in this sheet");
        }
    }
}
