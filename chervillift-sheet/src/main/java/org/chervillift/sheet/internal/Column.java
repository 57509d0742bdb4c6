package org.chervillift.sheet.internal;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** The columns of a sheet. */
enum Column {
    KIND("kind"),
    NAME("name"),
    POOL("pool"),
    SHARE("share"),
    LIMIT("limit"),
    OPEN("open"),
    MIN_AVAILABLE("min_available_percent"),
    SPARE("spare"),
    DATA_CENTRE("data_centre"),
    RACK("rack"),
    ADDRESS("address"),
    SLOTS("slots"),
    GOOD("good_percent"),
    WITHIN("within_ms"),
    NOTE("note");

    private final String title;

    Column(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    /** Returns the column of a header cell; case, spaces and hyphens do not matter. */
    static Optional<Column> of(String cell) {
        String wanted = cell.toLowerCase(Locale.ROOT).replaceAll("[\\s\\u00A0_-]+", "_");
        return Arrays.stream(values()).filter(c -> c.title.equals(wanted)).findFirst();
    }

    static String titles() {
        return Arrays.stream(values()).map(Column::title).collect(Collectors.joining(", "));
    }
}
