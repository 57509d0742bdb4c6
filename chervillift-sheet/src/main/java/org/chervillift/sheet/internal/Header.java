package org.chervillift.sheet.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.csv.CSVRecord;

/** Which column stands at which place. */
final class Header {

    private final List<Optional<Column>> places;
    private final Set<Integer> unknown;

    private Header(List<Optional<Column>> places, Set<Integer> unknown) {
        this.places = List.copyOf(places);
        this.unknown = Set.copyOf(unknown);
    }

    static boolean isHeader(CSVRecord record) {
        Set<Column> found = EnumSet.noneOf(Column.class);
        for (String cell : record) {
            Column.of(Cells.trim(cell)).ifPresent(found::add);
        }
        return found.contains(Column.KIND) && found.contains(Column.NAME);
    }

    static Header of(CSVRecord record, int number, ErrorList errors) {
        List<Optional<Column>> places = new ArrayList<>();
        Set<Integer> unknown = new HashSet<>();
        Set<Column> seen = EnumSet.noneOf(Column.class);
        for (String raw : record) {
            String cell = Cells.trim(raw);
            Optional<Column> column = Column.of(cell);
            if (column.isEmpty() && !cell.isEmpty()) {
                errors.add(number, cell, cell, Column.titles());
                unknown.add(places.size());
            }
            if (column.isPresent() && !seen.add(column.get())) {
                errors.add(number, cell, cell, "each column once");
            }
            places.add(column);
        }
        return new Header(places, unknown);
    }

    SheetRow row(CSVRecord record, int number, ErrorList errors) {
        Map<Column, String> cells = new EnumMap<>(Column.class);
        for (int i = 0; i < record.size(); i++) {
            String cell = Cells.trim(record.get(i));
            if (cell.isEmpty() || unknown.contains(i)) {
                continue;
            }
            Optional<Column> column = i < places.size() ? places.get(i) : Optional.empty();
            if (column.isPresent()) {
                cells.put(column.get(), cell);
            } else {
                errors.add(number, "cell " + (i + 1), cell, "empty, as the header is there");
            }
        }
        return new SheetRow(number, cells);
    }
}
