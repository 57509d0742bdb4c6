package org.chervillift.sheet;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.config.FleetConfig;

/** What came of reading a sheet. */
public sealed interface SheetResult {

    /**
     * The sheet was read without doubt.
     *
     * @param config the content, at version 0, each list ordered by name
     * @param format how the bytes were understood
     */
    record Read(FleetConfig config, SheetFormat format) implements SheetResult {
        public Read {
            Checks.notNull("config", config);
            Checks.notNull("format", format);
        }
    }

    /**
     * The sheet has errors, and nothing of it counts.
     *
     * @param errors the errors in the order of the rows, at most {@link SheetReader#MOST_ERRORS}
     * @param total how many errors there are in all
     */
    record Refused(List<SheetError> errors, int total) implements SheetResult {
        public Refused {
            errors = List.copyOf(errors);
            Checks.inRange("total", total, Math.max(1, errors.size()), Integer.MAX_VALUE);
        }
    }
}
